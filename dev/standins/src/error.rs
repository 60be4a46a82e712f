//! Errors of starting a stand-in.

use std::io;
use std::net::SocketAddr;

use quick_error::quick_error;

quick_error! {
    /// Why a stand-in failed to start.
    #[derive(Debug)]
    pub enum StandinError {
        /// Binding a listener to the address failed.
        Listen(address: SocketAddr, err: io::Error) {
            display("cannot listen on {}: {}", address, err)
            source(err)
        }
    }
}
