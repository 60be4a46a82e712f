//! Parts that entries and agents share: the identity of the process, the feed of the active
//! configuration, gossip over UDP, the drain and the admin address.

pub mod admin;
mod clock;
mod error;
mod feed;
mod feed_fetch;
mod feed_queue;
mod feed_tail;
mod feed_task;
mod gossip;
mod gossip_loop;
mod gossip_receive;
pub mod http;
mod identity;
pub mod leave;
mod pause_detector;
pub mod process;
mod sockets;
mod start_announcement;
mod vm_poll;

pub use clock::now_ms;
pub use error::{BodyError, NodeError};
pub use feed::{ConfigFeed, DigestComparison, FeedSettings};
pub use gossip::{Gossip, GossipHooks, GossipSettings};
pub use identity::Identity;
pub use leave::DrainSignal;
pub use pause_detector::PauseDetector;
pub use sockets::Sockets;
pub use vm_poll::vm_list_interval_ms;
