//! Failures of a stand-in itself.

use std::io;
use std::net::SocketAddr;

use quick_error::quick_error;

quick_error! {
    /// Why a stand-in does not run.
    #[derive(Debug)]
    pub enum StandinError {
        /// Its address cannot be listened on.
        Listen(address: SocketAddr, err: io::Error) {
            display("cannot listen on {}: {}", address, err)
            source(err)
        }
    }
}
