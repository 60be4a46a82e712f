//! Errors of the commands and their exit codes.

use std::path::PathBuf;

use control::{ControlError, ExitCode};
use inspect::InspectError;
use quick_error::quick_error;
use settings::SettingsError;

quick_error! {
    /// Reason why a command failed.
    #[derive(Debug)]
    pub enum CommandError {
        /// The flags are invalid.
        Settings(reason: SettingsError) {
            from()
            display("{}", reason)
        }
        /// The operation itself failed, for example because the customer's configuration
        /// text is invalid, or because the platform's log or a process did not answer.
        Control(reason: ControlError) {
            from()
            display("{}", reason)
        }
        /// The contents of the platform's store could not be read.
        Store(reason: InspectError) {
            source(reason)
            from()
            display("{}", reason)
        }
        /// A log file could not be read.
        LogFile(path: PathBuf, reason: std::io::Error) {
            source(reason)
            display("cannot read the log file {}: {}", path.display(), reason)
        }
        /// The async runtime could not be started.
        Runtime(reason: std::io::Error) {
            display("cannot start the async runtime: {}", reason)
        }
    }
}

impl CommandError {
    /// Exit code with which the process ends after this error.
    pub fn exit_code(&self) -> u8 {
        let code = match self {
            CommandError::Settings(_) => ExitCode::Settings,
            CommandError::Control(reason) => reason.exit_code(),
            CommandError::Store(_) => ExitCode::Unreachable,
            CommandError::LogFile(..) | CommandError::Runtime(_) => ExitCode::Fault,
        };
        code as u8
    }
}
