//! Failures of what every process shares.

use std::net::SocketAddr;

use quick_error::quick_error;
use telemetry::{LogsError, MetricsError};

quick_error! {
    /// Why a process can't start or go on.
    #[derive(Debug)]
    pub enum NodeError {
        /// An address that can't be listened on.
        Listen(address: SocketAddr, reason: std::io::Error) {
            source(reason)
            display("cannot listen on {}: {}", address, reason)
        }
        /// The system does not say which address was taken.
        Address(reason: std::io::Error) {
            source(reason)
            display("cannot tell the listening address: {}", reason)
        }
        /// No shared key in the settings.
        NoKey {
            display("there is no shared key")
        }
        /// The metrics.
        Metrics(reason: MetricsError) {
            from()
            source(reason)
            display("{}", reason)
        }
        /// The log.
        Logs(reason: LogsError) {
            from()
            source(reason)
            display("{}", reason)
        }
        /// The threads of the process.
        Runtime(reason: std::io::Error) {
            source(reason)
            display("cannot start the runtime: {}", reason)
        }
        /// A signal that can't be listened for.
        Signal(reason: std::io::Error) {
            source(reason)
            display("cannot listen for signals: {}", reason)
        }
    }
}

quick_error! {
    /// Why a body was not read to its end.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum BodyError {
        /// More bytes than allowed.
        TooLarge(bytes_max: usize) {
            display("the body has more than {} bytes", bytes_max)
        }
        /// The sender stopped before the stated end.
        Interrupted {
            display("the body ended before its stated end")
        }
    }
}
