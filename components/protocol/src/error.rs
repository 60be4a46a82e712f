//! Errors of encoding and decoding. A decoding error closes the connection on which the bytes
//! were received, or drops the datagram, and has no other effect.

use quick_error::quick_error;

use crate::KeyId;

quick_error! {
    /// Why a message cannot be encoded or decoded.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum CodecError {
        /// Longer than the limit; no memory was allocated for the message.
        TooLarge(size_bytes: usize, max_bytes: usize) {
            display("message of {} bytes exceeds the limit of {} bytes", size_bytes, max_bytes)
        }
        /// Too short to contain an authentication code or a key id.
        TooShort(size_bytes: usize) {
            display("message of {} bytes is shorter than its authentication data", size_bytes)
        }
        /// The stream ended inside a message.
        Truncated {
            display("stream ended inside a message")
        }
        /// Corrupted, replayed, out of order, or signed with another key.
        Unauthentic {
            display("authentication code does not match the message")
        }
        /// Signed with a key that this process does not accept.
        UnknownKey(id: KeyId) {
            display("message signed with key {:02x?}, which this process does not accept", id)
        }
        /// Authentic, but not a valid message of this protocol version.
        Malformed {
            display("message does not decode as this protocol version")
        }
        /// The first frame of a connection is not a hello frame, or a later frame is one.
        NotHello {
            display("hello frame missing or out of place")
        }
        /// Both sides support no common protocol version.
        NoCommonVersion(peer_min: u16, peer_max: u16) {
            display("no common protocol version: peer supports {} to {}", peer_min, peer_max)
        }
        /// A gossip message that exceeds a packet by itself.
        MessageTooLarge(size_bytes: usize) {
            display("gossip message of {} bytes exceeds a packet", size_bytes)
        }
    }
}
