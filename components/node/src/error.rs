//! Errors of the parts that entries and agents share.

use std::net::SocketAddr;

use quick_error::quick_error;
use telemetry::{LogsError, MetricsError};

quick_error! {
    /// Why a process cannot start.
    #[derive(Debug)]
    pub enum NodeError {
        /// Binding to a configured address failed.
        Listen(address: SocketAddr, reason: std::io::Error) {
            source(reason)
            display("cannot listen on {}: {}", address, reason)
        }
        /// The address of a bound listener could not be read from the system.
        Address(reason: std::io::Error) {
            source(reason)
            display("cannot read the address of the admin listener: {}", reason)
        }
        /// The settings contain no shared key.
        NoKey {
            display("no shared key in the settings: at least one is required")
        }
        /// The metrics could not be started.
        Metrics(reason: MetricsError) {
            from()
            source(reason)
            display("{}", reason)
        }
        /// The logging could not be started.
        Logs(reason: LogsError) {
            from()
            source(reason)
            display("{}", reason)
        }
        /// The tokio runtime could not be started.
        Runtime(reason: std::io::Error) {
            source(reason)
            display("cannot start the tokio runtime: {}", reason)
        }
        /// The handler of a signal could not be installed.
        Signal(reason: std::io::Error) {
            source(reason)
            display("cannot install the handler of a signal: {}", reason)
        }
    }
}

quick_error! {
    /// Why an HTTP body could not be read.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum BodyError {
        /// The body exceeds the limit.
        TooLarge(bytes_max: usize) {
            display("body exceeds the limit of {} bytes", bytes_max)
        }
        /// The connection failed or closed before the end of the body.
        Interrupted {
            display("body ended before its stated length")
        }
    }
}
