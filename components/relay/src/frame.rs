//! Messages between a front and a relaying peer. A frame is the length of its content as a 32-bit
//! big-endian number, and then the content in postcard. Both sides send a [`RelayHello`] first.

use bytes::Bytes;
use derive::wire;

use crate::FrameError;

/// Version of the protocol in [`RelayHello`].
pub const RELAY_VERSION: u16 = 1;
/// Size limit of a frame's content, in bytes: the largest append that the store accepts.
pub const FRAME_BYTES_MAX: usize = 2 * 1024 * 1024;
/// Size limit of the path and body of a call, or of the body of an answer, in bytes: a frame without
/// its fixed fields.
pub const CONTENT_BYTES_MAX: usize = FRAME_BYTES_MAX - 64;
/// Size of the length before each frame, in bytes.
pub const LENGTH_BYTES: usize = 4;

/// First message of each side of a connection.
#[wire]
pub struct RelayHello {
    /// [`RELAY_VERSION`] of the sender.
    pub version: u16,
    /// Node name of the sender.
    pub node: String,
    /// When the sender's process started, in milliseconds of UTC since the Unix epoch. It tells a
    /// restarted process from its predecessor at the same address.
    pub started_unix_ms: u64,
}

/// HTTP method of a relayed call.
#[wire]
#[derive(Copy)]
pub enum RelayMethod {
    /// A call that reads.
    Get,
    /// A call that writes.
    Post,
}

/// A call to the store that the receiver makes for the sender.
#[wire]
pub struct RelayCall {
    /// Number of the call on its connection.
    pub id: u64,
    /// Time until the sender abandons the call, in milliseconds.
    pub left_ms: u32,
    /// HTTP method.
    pub method: RelayMethod,
    /// HTTP path with query.
    pub path: String,
    /// Complete body; empty for a read.
    pub body: Bytes,
}

/// How a relayed call ended.
#[wire]
pub enum RelayOutcome {
    /// The store answered.
    Answered {
        /// HTTP status.
        status: u16,
        /// Complete body.
        body: Bytes,
    },
    /// The relaying front got no answer from the store, or was refused by it.
    NotReached {
        /// Whether the call certainly had no effect.
        not_done: bool,
    },
    /// The relaying front is at its limits and has not made the call.
    Busy,
}

/// Answer to a [`RelayCall`].
#[wire]
pub struct RelayAnswer {
    /// Number of the call.
    pub id: u64,
    /// How the call ended.
    pub outcome: RelayOutcome,
}

/// One message.
#[wire]
pub enum RelayFrame {
    /// First message of each side.
    Hello(RelayHello),
    /// From the caller to the relaying front.
    Call(RelayCall),
    /// From the relaying front to the caller.
    Answer(RelayAnswer),
}

/// Whether a call with `bytes` of path and body fits one frame.
pub fn fits_frame(bytes: usize) -> bool {
    bytes <= CONTENT_BYTES_MAX
}

/// Encodes a message with its length.
pub fn encode_frame(frame: &RelayFrame) -> Result<Vec<u8>, FrameError> {
    let content = postcard::to_extend(frame, vec![0; LENGTH_BYTES]).map_err(FrameError::Encode)?;
    let bytes = content.len() - LENGTH_BYTES;
    if bytes > FRAME_BYTES_MAX {
        return Err(FrameError::Length(bytes));
    }
    let mut encoded = content;
    encoded[..LENGTH_BYTES].copy_from_slice(&(bytes as u32).to_be_bytes());
    Ok(encoded)
}

/// Length of the content that follows a frame's length field. A length out of range is an error,
/// so that a peer cannot make this process reserve much memory.
pub fn frame_length(field: [u8; LENGTH_BYTES]) -> Result<usize, FrameError> {
    match u32::from_be_bytes(field) as usize {
        bytes @ 1..=FRAME_BYTES_MAX => Ok(bytes),
        bytes => Err(FrameError::Length(bytes)),
    }
}

/// Decodes the content of a frame. A hello of another version is an error.
pub fn decode_frame(content: &[u8]) -> Result<RelayFrame, FrameError> {
    let frame = postcard::from_bytes(content).map_err(FrameError::Decode)?;
    match frame {
        RelayFrame::Hello(RelayHello { version, .. }) if version != RELAY_VERSION => {
            Err(FrameError::Version(version))
        }
        frame => Ok(frame),
    }
}
