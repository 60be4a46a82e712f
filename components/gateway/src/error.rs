//! Why an entry can't start.

use claims::SettingsError;
use node::NodeError;
use quick_error::quick_error;
use telemetry::{LogsError, MetricsError};

quick_error! {
    /// Why an entry can't start.
    #[derive(Debug)]
    pub enum EntryError {
        /// Its addresses.
        Node(reason: NodeError) {
            from()
            source(reason)
            display("{}", reason)
        }
        /// The metrics.
        Metrics(reason: MetricsError) {
            from()
            source(reason)
            display("{}", reason)
        }
        /// The settings of claims.
        Claims(reason: SettingsError) {
            from()
            source(reason)
            display("{}", reason)
        }
        /// The log.
        Logs(reason: LogsError) {
            from()
            source(reason)
            display("{}", reason)
        }
        /// The threads of the process.
        Runtime(reason: std::io::Error) {
            source(reason)
            display("cannot start the runtime: {}", reason)
        }
        /// A signal that can't be listened for.
        Signal(reason: std::io::Error) {
            source(reason)
            display("cannot listen for signals: {}", reason)
        }
    }
}
