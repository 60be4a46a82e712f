//! The inner protocol: what the system's own processes say to one another, over TCP
//! (frames of calls) and UDP (small periodic news). No I/O here.

mod datagram;
mod frame;
mod key;

pub use datagram::{ConfigDigest, Datagram, Hosted, Load, News, ProcessRole, Status};
pub use frame::{Frame, Head, Hello, Open};
pub use key::{KEY_BYTES, KEY_ID_BYTES, KEYS_MAX, Key, KeyError, KeyId, Keys};
