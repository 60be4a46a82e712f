//! Calls between the system's own processes over TCP, and datagrams over UDP.
//!
//! A call survives a cut or silent connection: the caller connects anew and takes the call
//! up again by its identity. All decisions are in package `recovery`; here are sockets,
//! tasks and channels.

mod accept;
mod answer;
mod call;
mod clock;
mod connection;
mod error;
mod greet;
mod links;
mod mark;
mod outgoing;
mod peer;
mod server;
mod settings;
mod traffic;
mod udp;

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
