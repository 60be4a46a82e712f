//! The error type of the tools.

use std::net::SocketAddr;

use adapters::PlatformError;
use quick_error::quick_error;
use standins::StandinError;
use standins::trainer::TrainerError;

quick_error! {
    /// Reason why a tool ended without a result.
    #[derive(Debug)]
    pub enum BenchError {
        /// The operating system refused a runtime, process, file or socket.
        Io(err: std::io::Error) {
            display("{}", err)
            from()
            source(err)
        }
        /// A stand-in could not be started.
        Standin(err: StandinError) {
            display("{}", err)
            from()
            source(err)
        }
        /// The trainer abandoned its run.
        Trainer(err: TrainerError) {
            display("trainer run failed: {}", err)
            from()
            source(err)
        }
        /// A request to a process or stand-in got no answer.
        NoAnswer(address: SocketAddr, err: PlatformError) {
            display("no answer from {}: {}", address, err)
            source(err)
        }
        /// An answer had a status other than 200.
        UnexpectedStatus(address: SocketAddr, status: u16) {
            display("unexpected status {1} from {0}, expected 200", address, status)
        }
        /// A message could not be parsed or written as JSON.
        Json(err: serde_json::Error) {
            display("invalid JSON: {}", err)
            from()
            source(err)
        }
        /// A configuration text, generated or from an example, does not pass the check.
        ConfigText(err: config::Complaints) {
            display("invalid configuration text: {}", err)
        }
        /// A generated customer name is not valid.
        InvalidName(text: String) {
            display("invalid customer name '{}'", text)
        }
        /// The settings of the entry under test are not valid.
        Settings(err: settings::SettingsError) {
            display("{}", err)
            from()
        }
        /// The entry under test could not be started, or failed.
        Entry(err: gateway::EntryError) {
            display("{}", err)
            from()
        }
        /// A flag of the command line has a value that is not allowed.
        InvalidFlag(flag: &'static str, value: String, allowed: &'static str) {
            display("invalid value '{1}' for --{0}, expected {2}", flag, value, allowed)
        }
        /// Not enough consecutive ports are free.
        NoPorts(count: u16) {
            display("found no range of {} consecutive free ports", count)
        }
        /// A site did not reach the awaited state in time.
        Timeout(state: String, wait_ms: u64) {
            display("timed out after {1} ms: {0}", state, wait_ms)
        }
    }
}
