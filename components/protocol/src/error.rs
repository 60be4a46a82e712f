//! What can be wrong with bytes from the wire. Each of these closes the connection that
//! brought them, or drops the datagram, and touches nothing else.

use quick_error::quick_error;

use crate::KeyId;

quick_error! {
    /// Why bytes are not a message.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum CodecError {
        /// Longer than the limit; nothing was allocated for it.
        TooLarge(size_bytes: usize, max_bytes: usize) {
            display("a message of {} bytes, at most {} are allowed", size_bytes, max_bytes)
        }
        /// Too short to be any message.
        TooShort(size_bytes: usize) {
            display("a message of {} bytes is too short", size_bytes)
        }
        /// The stream ended inside a message.
        Truncated {
            display("the stream ended inside a message")
        }
        /// Garbled, replayed, out of its order, or signed with another key.
        Unauthentic {
            display("the authentication code does not fit the message")
        }
        /// Signed with a key that is not accepted here.
        UnknownKey(id: KeyId) {
            display("signed with key {:02x?}, which is not accepted", id)
        }
        /// Authentic but not a message of this version.
        Malformed {
            display("the message does not parse")
        }
        /// The first frame of a connection is not a greeting, or a later one is.
        NotHello {
            display("a greeting is missing or out of place")
        }
        /// No protocol version that both sides speak.
        NoCommonVersion(peer_min: u16, peer_max: u16) {
            display("the peer speaks protocol versions {} to {}", peer_min, peer_max)
        }
        /// A piece of news that does not fit a datagram alone.
        MessageTooLarge(size_bytes: usize) {
            display("a piece of news has {} bytes and fits no datagram", size_bytes)
        }
    }
}
