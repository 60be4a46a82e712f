//! Why an agent can't start.

use node::NodeError;
use quick_error::quick_error;
use std::net::SocketAddr;
use telemetry::{LogsError, MetricsError};

quick_error! {
    /// Why an agent can't start.
    #[derive(Debug)]
    pub enum AgentError {
        /// An address that can't be listened on.
        Node(reason: NodeError) {
            from()
            source(reason)
            display("{}", reason)
        }
        /// An address that can't be listened on.
        Listen(address: SocketAddr, reason: std::io::Error) {
            source(reason)
            display("cannot listen on {}: {}", address, reason)
        }
        /// No shared key in the settings.
        NoKey {
            display("there is no shared key")
        }
        /// The metrics.
        Metrics(reason: MetricsError) {
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
