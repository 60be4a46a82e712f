//! Why a proof could not be run, or what it found.

use std::io;
use std::net::SocketAddr;

use adapters::PlatformError;
use control::ControlError;
use quick_error::quick_error;
use standins::StandinError;

quick_error! {
    /// Why a proof could not be run, or what it found.
    #[derive(Debug)]
    pub enum ProofError {
        /// A process, file or socket.
        Io(err: io::Error) {
            display("{}", err)
            from()
            source(err)
        }
        /// A stand-in does not start.
        Standin(err: StandinError) {
            display("{}", err)
            from()
            source(err)
        }
        /// An exchange with a process or stand-in.
        Request(err: PlatformError) {
            display("{}", err)
            from()
            source(err)
        }
        /// A command of an operator.
        Control(err: ControlError) {
            display("{}", err)
            from()
            source(err)
        }
        /// An answer that is not the JSON it must be.
        Json(err: serde_json::Error) {
            display("not JSON: {}", err)
            from()
            source(err)
        }
        /// An address answers with another status than it must.
        Status(address: SocketAddr, status: u16) {
            display("{} answers with status {}", address, status)
        }
        /// A process ended that has to run.
        Ended(what: String) {
            display("{} ended", what)
        }
        /// An event did not come in the tries that were given it.
        TimedOut(what: String) {
            display("not seen: {}", what)
        }
        /// A promise is broken.
        Violation(case: String, how: String) {
            display("{}: {}", case, how)
        }
    }
}
