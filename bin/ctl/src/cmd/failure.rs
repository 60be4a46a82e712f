//! Failure of a command, with its exit code.

use std::path::PathBuf;

use control::{ControlError, ExitCode};
use inspect::InspectError;
use quick_error::quick_error;
use settings::SettingsError;

quick_error! {
    /// Why a command failed.
    #[derive(Debug)]
    pub enum Failure {
        /// Wrong flags.
        Settings(reason: SettingsError) {
            from()
            display("{}", reason)
        }
        /// The command itself.
        Control(reason: ControlError) {
            from()
            display("{}", reason)
        }
        /// The platform's store.
        Store(reason: InspectError) {
            source(reason)
            from()
            display("{}", reason)
        }
        /// A log that can't be read.
        Logs(path: PathBuf, reason: std::io::Error) {
            source(reason)
            display("cannot read the log {}: {}", path.display(), reason)
        }
        /// No runtime to be had.
        Runtime(reason: std::io::Error) {
            display("the program cannot start: {}", reason)
        }
    }
}

impl Failure {
    /// The exit code of the process.
    pub fn exit_code(&self) -> u8 {
        let code = match self {
            Failure::Settings(_) => ExitCode::Settings,
            Failure::Control(reason) => reason.exit_code(),
            Failure::Store(_) => ExitCode::Unreachable,
            Failure::Logs(..) | Failure::Runtime(_) => ExitCode::Fault,
        };
        code as u8
    }
}
