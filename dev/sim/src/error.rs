//! Errors of the simulation and of its plot.

use std::path::PathBuf;

use quick_error::quick_error;

quick_error! {
    /// Why a simulation did not run or its reports were not written.
    #[derive(Debug)]
    pub enum SimError {
        /// A setting has a value with which no fleet can be simulated.
        InvalidSetting(name: &'static str, reason: &'static str) {
            display("invalid setting: {} {}", name, reason)
        }
        /// The plot could not be drawn or written.
        Plot(path: PathBuf, reason: String) {
            display("cannot plot the reports into {}: {}", path.display(), reason)
        }
        /// A report could not be encoded as JSON.
        Encode(reason: serde_json::Error) {
            source(reason)
            from()
            display("cannot encode a report as JSON: {}", reason)
        }
    }
}
