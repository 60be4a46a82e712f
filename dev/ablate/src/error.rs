//! Errors of the ablation.

use std::path::PathBuf;

use quick_error::quick_error;

quick_error! {
    /// Why the ablation stopped.
    #[derive(Debug)]
    pub enum AblateError {
        /// A file could not be read or written, or its path could not be made absolute.
        File(path: PathBuf, reason: std::io::Error) {
            source(reason)
            display("cannot access {}: {}", path.display(), reason)
        }
        /// The table of mechanisms could not be parsed.
        Table(path: PathBuf, reason: toml::de::Error) {
            source(reason)
            display("cannot parse the table of mechanisms {}: {}", path.display(), reason)
        }
        /// `--only` names a mechanism that the table does not have.
        UnknownMechanism(name: String) {
            display("no mechanism in the table is named {}", name)
        }
        /// The text to replace does not occur exactly once in its file.
        TextCount(name: String, path: PathBuf, count: usize) {
            display("cannot switch off {}: its text occurs {} times in {}, expected once", name, count, path.display())
        }
        /// A program could not be started or exited with a failure.
        Program(label: String, reason: String) {
            display("{} failed: {}", label, reason)
        }
        /// The bench's report has no worth or no list of broken rules.
        MissingWorth(path: PathBuf) {
            display("the bench report {} lacks the worth `G` or the broken rules `breaks`", path.display())
        }
    }
}
