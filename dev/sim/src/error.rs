//! Errors.

use std::path::PathBuf;

use quick_error::quick_error;

quick_error! {
    /// Why nothing was simulated or drawn.
    #[derive(Debug)]
    pub enum SimError {
        /// A setting makes no fleet.
        Setting(name: &'static str, why: &'static str) {
            display("the setting {} {}", name, why)
        }
        /// A picture can't be drawn.
        Picture(path: PathBuf, why: String) {
            display("cannot draw {}: {}", path.display(), why)
        }
        /// A report can't be encoded.
        Encode(reason: serde_json::Error) {
            source(reason)
            from()
            display("cannot encode a report: {}", reason)
        }
    }
}
