//! Errors of the end-to-end tests.

use std::io;
use std::net::SocketAddr;

use adapters::PlatformError;
use control::ControlError;
use quick_error::quick_error;
use standins::StandinError;

quick_error! {
    /// Why a test could not run, or which promise of the product it found violated.
    #[derive(Debug)]
    pub enum ProofError {
        /// An operation on a process, file or socket failed.
        Io(err: io::Error) {
            display("{}", err)
            from()
            source(err)
        }
        /// A stand-in did not start.
        Standin(err: StandinError) {
            display("{}", err)
            from()
            source(err)
        }
        /// A request to a process or stand-in failed.
        Request(err: PlatformError) {
            display("{}", err)
            from()
            source(err)
        }
        /// An operator's command failed.
        Control(err: ControlError) {
            display("{}", err)
            from()
            source(err)
        }
        /// An answer is not the expected JSON.
        Json(err: serde_json::Error) {
            display("cannot parse an answer as JSON: {}", err)
            from()
            source(err)
        }
        /// An address answered with a status other than 2xx.
        Status(address: SocketAddr, status: u16) {
            display("{} answered with status {}, expected 2xx", address, status)
        }
        /// A process or task ended that should still run.
        Ended(subject: String) {
            display("{} ended unexpectedly", subject)
        }
        /// An expected object was not found, or an expected event did not occur in time.
        NotFound(subject: String) {
            display("not found in time: {}", subject)
        }
        /// The product violated a promise in a case.
        Violation(case: String, reason: String) {
            display("{}: {}", case, reason)
        }
    }
}
