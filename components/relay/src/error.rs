//! Errors of encoding and decoding.

use quick_error::quick_error;

quick_error! {
    /// Why a frame or a record of the address book could not be encoded or decoded.
    #[derive(Debug, PartialEq, Eq)]
    pub enum FrameError {
        /// The frame is empty or exceeds the size limit.
        Length(bytes: usize) {
            display("frame of {} bytes is out of range", bytes)
        }
        /// The bytes are not a message of this protocol.
        Decode(reason: postcard::Error) {
            source(reason)
            display("cannot decode a relay message: {}", reason)
        }
        /// The message could not be encoded.
        Encode(reason: postcard::Error) {
            source(reason)
            display("cannot encode a relay message: {}", reason)
        }
        /// The message or record has a version that this process does not know.
        Version(version: u16) {
            display("unknown relay version {}", version)
        }
    }
}
