//! Errors.

use std::path::PathBuf;

use quick_error::quick_error;

quick_error! {
    /// Why nothing was measured.
    #[derive(Debug)]
    pub enum AblateError {
        /// A file can't be read or written.
        File(path: PathBuf, reason: std::io::Error) {
            source(reason)
            display("cannot use {}: {}", path.display(), reason)
        }
        /// The table of mechanisms is not what it should be.
        Table(path: PathBuf, reason: toml::de::Error) {
            source(reason)
            display("cannot read the table {}: {}", path.display(), reason)
        }
        /// No mechanism has this name.
        Unknown(name: String) {
            display("no mechanism is called {}", name)
        }
        /// The text of a change doesn't stand exactly once in its file.
        Text(name: String, path: PathBuf, count: usize) {
            display("{}: its text stands {} times in {}, not once", name, count, path.display())
        }
        /// A program can't be run or fails.
        Program(what: String, why: String) {
            display("{} failed: {}", what, why)
        }
        /// The bench's report has no worth.
        Report(path: PathBuf) {
            display("no worth in the report {}", path.display())
        }
    }
}
