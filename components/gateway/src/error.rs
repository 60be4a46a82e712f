//! Why an entry can't start.

use claims::SettingsError;
use node::NodeError;
use quick_error::quick_error;
use telemetry::MetricsError;

quick_error! {
    /// Why an entry can't start.
    #[derive(Debug)]
    pub enum EntryError {
        /// Its addresses, threads or signals.
        Node(reason: NodeError) {
            from()
            from(reason: MetricsError) -> (NodeError::Metrics(reason))
            source(reason)
            display("{}", reason)
        }
        /// The settings of claims.
        Claims(reason: SettingsError) {
            from()
            source(reason)
            display("--log-retention-ms is not allowed: {}", reason)
        }
    }
}
