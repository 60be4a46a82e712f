//! Errors that prevent an entry from starting.

use claims::SettingsError;
use node::NodeError;
use quick_error::quick_error;
use telemetry::MetricsError;

quick_error! {
    /// An error that prevents an entry from starting.
    #[derive(Debug)]
    pub enum EntryError {
        /// Sockets, threads, signals or metrics could not be set up.
        Node(reason: NodeError) {
            from()
            from(reason: MetricsError) -> (NodeError::Metrics(reason))
            source(reason)
            display("{}", reason)
        }
        /// The claim settings do not fit the retention time of the log.
        Claims(reason: SettingsError) {
            from()
            source(reason)
            display("invalid --log-retention-ms: {}", reason)
        }
    }
}
