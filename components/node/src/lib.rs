//! What entry and agent share: who the process is, the configuration in force, news over
//! UDP, and the admin address.

pub mod admin;
mod clock;
mod error;
mod feed;
mod feed_fetch;
mod feed_queue;
mod feed_tail;
mod feed_task;
mod gossip;
mod gossip_heard;
mod gossip_loop;
mod greeting;
pub mod http;
mod identity;
pub mod leave;
pub mod process;
mod pulse;
mod sockets;
mod vm_poll;

pub use clock::now_ms;
pub use error::{BodyError, NodeError};
pub use feed::{ConfigFeed, DigestComparison, FeedSettings};
pub use gossip::{Gossip, GossipHooks, GossipSettings};
pub use identity::Identity;
pub use leave::DrainSignal;
pub use pulse::PauseDetector;
pub use sockets::Sockets;
pub use vm_poll::vm_list_interval_ms;
