//! The one error of wrong settings: it names the flag, the value and what is allowed.

use std::path::PathBuf;

use quick_error::quick_error;

/// Exit code of a process whose settings are wrong.
pub const EXIT_SETTINGS: u8 = 2;

quick_error! {
    /// Why a process does not start with these settings.
    #[derive(Debug)]
    pub enum SettingsError {
        /// A flag has no value, neither on the command line nor in the environment.
        Missing(flag: &'static str, allowed: &'static str) {
            display("--{} is missing: set it or {}, {}", flag, crate::common::variable(flag), allowed)
        }
        /// A value that is not allowed.
        InvalidValue(flag: &'static str, value: String, allowed: &'static str) {
            display("--{} is '{}': allowed is {}", flag, value, allowed)
        }
        /// Two values that exclude each other.
        Conflict(flag: &'static str, value: String, other: &'static str, allowed: &'static str) {
            display("--{} is '{}', which does not go with --{}: {}", flag, value, other, allowed)
        }
        /// A file that can't be read.
        FileRead(flag: &'static str, path: PathBuf, reason: std::io::Error) {
            source(reason)
            display("--{} is '{}', which cannot be read: {}", flag, path.display(), reason)
        }
        /// A line of the key file that is no key. The line itself is never shown.
        InvalidKey(path: PathBuf, line: usize) {
            display(
                "--key-file is '{}', whose line {} is no key: allowed are one or two lines of 64 hexadecimal digits",
                path.display(), line
            )
        }
    }
}
