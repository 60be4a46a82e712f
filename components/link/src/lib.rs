//! Calls over TCP and datagrams over UDP between the processes of the system.
//!
//! A call survives the loss of its connection: the caller reconnects and resumes the call by
//! its id. The package `recovery` holds the state machines that decide about retries and
//! resumption; this package holds the sockets, tasks and channels.

mod accept;
mod answer;
mod call;
mod clock;
mod connection;
mod error;
mod handshake;
mod links;
mod outgoing;
mod peer;
mod server;
mod settings;
mod traffic;
mod udp;
mod write_progress;

pub use answer::{AnswerSender, IncomingCall};
pub use call::Call;
pub use error::LinkError;
pub use links::Links;
pub use protocol::{Key, Keys};
pub use recovery::CallEvent;
pub use server::serve;
pub use settings::LinkSettings;
pub use traffic::{Counters, Traffic};
pub use udp::Udp;
