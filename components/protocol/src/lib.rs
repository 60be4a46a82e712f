//! The inner protocol: what the system's own processes say to one another, over TCP
//! (frames of calls) and UDP (small periodic news). No I/O here.

mod authentication;
mod codec;
mod datagram;
mod error;
mod frame;
mod greeting;
mod key;
mod packet;
mod payload;
mod view;

pub use authentication::{Direction, NONCE_BYTES, Nonce, TAG_BYTES};
pub use codec::{FRAME_OVERHEAD_BYTES, FrameReader, FrameWriter, LENGTH_BYTES, Session, check_end};
pub use datagram::{
    ConfigDigest, CrashReport, Datagram, DemandDigest, GossipMessage, HostedService, Load,
    ProcessRole, Status,
};
pub use error::CodecError;
pub use frame::{Frame, Head, Hello, Open};
pub use greeting::{
    HELLO_BYTES_MAX, VERSION_MAX, VERSION_MIN, negotiate_version, read_callee_hello,
    read_caller_hello, write_callee_hello, write_caller_hello,
};
pub use key::{KEY_BYTES, KEY_ID_BYTES, Key, KeyId, Keys};
pub use packet::{DATAGRAM_BYTES_MAX, read_datagram, write_datagram};
