//! The inner protocol: what the system's own processes say to one another, over TCP
//! (frames of calls) and UDP (small periodic news). No I/O here.

mod datagram;
mod frame;

pub use datagram::{ConfigDigest, Datagram, Hosted, Load, News, ProcessRole, Status};
pub use frame::{Frame, Head, Hello, Open};
