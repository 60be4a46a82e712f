//! Why a connection could not be made or did not last.

use std::io;

use protocol::CodecError;
use quick_error::quick_error;

quick_error! {
    /// Why a connection could not be made or did not last.
    #[derive(Debug)]
    pub enum LinkError {
        /// The socket failed.
        Socket(err: io::Error) {
            from()
            source(err)
            display("the socket failed: {}", err)
        }
        /// Bytes that are no message, or a peer that is not one of ours.
        Codec(err: CodecError) {
            from()
            source(err)
            display("{}", err)
        }
        /// Not made and greeted in time.
        TimedOut {
            display("no greeting within the time to connect")
        }
        /// The peer closed it.
        Closed {
            display("the peer closed the connection")
        }
        /// This process closed it.
        Finished {
            display("this process closed the connection")
        }
    }
}
