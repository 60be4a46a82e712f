//! Why a tool ends without its result.

use std::net::SocketAddr;

use adapters::PlatformError;
use quick_error::quick_error;
use standins::StandinError;
use standins::trainer::TrainerError;

quick_error! {
    /// Why a tool ends without its result.
    #[derive(Debug)]
    pub enum BenchError {
        /// No runtime, process, file or socket.
        System(err: std::io::Error) {
            display("{}", err)
            from()
            source(err)
        }
        /// A stand-in does not start.
        Standin(err: StandinError) {
            display("{}", err)
            from()
            source(err)
        }
        /// The trainer gives up.
        Trainer(err: TrainerError) {
            display("trainer: {}", err)
            from()
            source(err)
        }
        /// An address does not answer.
        NoAnswer(address: SocketAddr, err: PlatformError) {
            display("{} does not answer: {}", address, err)
            source(err)
        }
        /// An address answers with something else.
        Answer(address: SocketAddr, status: u16) {
            display("{} answers with status {}", address, status)
        }
        /// A message that is not JSON.
        Json(err: serde_json::Error) {
            display("not JSON: {}", err)
            from()
            source(err)
        }
        /// A configuration text that is generated wrongly.
        Text(err: config::Complaints) {
            display("generated text: {}", err)
        }
        /// A name that is generated wrongly.
        Name(text: String) {
            display("'{}' is no name", text)
        }
        /// Settings of an entry under test.
        Settings(err: settings::SettingsError) {
            display("{}", err)
            from()
        }
        /// An entry under test.
        Entry(err: gateway::EntryError) {
            display("{}", err)
            from()
        }
        /// A value of the command line.
        Flag(flag: &'static str, value: String, allowed: &'static str) {
            display("--{} '{}': {}", flag, value, allowed)
        }
        /// No free ports one after the other.
        NoPorts(count: u16) {
            display("no {} free ports one after the other", count)
        }
        /// A site does not come up in time.
        NotUp(what: String, wait_ms: u64) {
            display("{} within {} ms", what, wait_ms)
        }
    }
}
