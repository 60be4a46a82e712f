//! The error for invalid settings. The message names the flag, its value and the allowed values.

use std::path::PathBuf;

use quick_error::quick_error;

/// Exit code of a process that does not start because its settings are invalid.
pub const EXIT_SETTINGS: u8 = 2;

quick_error! {
    /// Reason why the settings are invalid.
    #[derive(Debug)]
    pub enum SettingsError {
        /// The flag is set neither on the command line nor in the environment.
        Missing(flag: &'static str, expected: &'static str) {
            display("--{} is missing: set the flag or the variable {} to {}", flag, crate::common::variable_name(flag), expected)
        }
        /// The value of a flag is malformed or out of range.
        InvalidValue(flag: &'static str, value: String, expected: &'static str) {
            display("invalid value '{}' for --{}: expected {}", value, flag, expected)
        }
        /// The values of two flags exclude each other.
        Conflict(flag: &'static str, value: String, other: &'static str, reason: &'static str) {
            display("value '{}' of --{} conflicts with --{}: {}", value, flag, other, reason)
        }
        /// The file that a flag names could not be read.
        FileRead(flag: &'static str, path: PathBuf, reason: std::io::Error) {
            source(reason)
            display("cannot read the file of --{}, '{}': {}", flag, path.display(), reason)
        }
        /// The line of the key file with this number, counted from 1, is not a key or is one key
        /// too many; 1 if the file has no key. The message never shows the line itself, because it
        /// may hold a secret.
        InvalidKey(path: PathBuf, line: usize) {
            display(
                "invalid key in the file '{}' of --key-file, line {}: expected one or two lines of 64 hexadecimal digits",
                path.display(), line
            )
        }
    }
}
