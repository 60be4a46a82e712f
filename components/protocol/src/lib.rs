//! The protocol between the processes of the system: frames of calls over TCP and gossip
//! messages over UDP. This package encodes, decodes and authenticates; it performs no I/O.

mod authentication;
mod codec;
mod datagram;
mod error;
mod frame;
mod handshake;
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
pub use handshake::{
    HELLO_BYTES_MAX, VERSION_MAX, VERSION_MIN, negotiate_version, read_callee_hello,
    read_caller_hello, write_callee_hello, write_caller_hello,
};
pub use key::{KEY_BYTES, KEY_ID_BYTES, Key, KeyId, Keys};
pub use packet::{DATAGRAM_BYTES_MAX, read_datagram, write_datagram};
