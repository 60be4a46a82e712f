//! Errors of a connection between two processes.

use std::io;

use protocol::CodecError;
use quick_error::quick_error;

quick_error! {
    /// Why a connection was not established or was closed.
    #[derive(Debug)]
    pub enum LinkError {
        /// A socket operation failed.
        Socket(err: io::Error) {
            from()
            source(err)
            display("socket operation failed: {}", err)
        }
        /// The peer sent bytes that are malformed or not authenticated with a shared key.
        Codec(err: CodecError) {
            from()
            source(err)
            display("{}", err)
        }
        /// The connection and its handshake took longer than `connect_timeout_ms`.
        TimedOut {
            display("handshake not completed within the connect timeout")
        }
        /// The peer closed the connection.
        ClosedByPeer {
            display("the peer closed the connection")
        }
        /// This process closed the connection.
        ClosedLocally {
            display("this process closed the connection")
        }
    }
}
