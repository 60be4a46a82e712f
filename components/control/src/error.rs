//! Failures of an operator's command, each with its exit code and what to do next.

use std::net::SocketAddr;
use std::path::PathBuf;

use adapters::PlatformError;
use config::{Complaints, RecordError, Refusal};
use quick_error::quick_error;

/// Exit codes of `hornbeamrockctl`, as its manual page lists them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitCode {
    /// Done.
    Done = 0,
    /// A fault that no other code names.
    Fault = 1,
    /// Wrong flags or settings.
    Settings = 2,
    /// The text does not pass the check.
    InvalidText = 3,
    /// Another publish came first.
    LostRace = 4,
    /// Accepted, but not seen in force everywhere in time.
    NotActive = 5,
    /// The platform or a process did not answer; what happened may be unknown.
    Unreachable = 6,
}

quick_error! {
    /// Why a command of an operator failed.
    #[derive(Debug)]
    pub enum ControlError {
        /// A file that can't be read.
        FileRead(path: PathBuf, reason: std::io::Error) {
            source(reason)
            display("{} cannot be read: {}; name a file that exists and that you may read", path.display(), reason)
        }
        /// The text is refused before it is published.
        InvalidText(complaints: Complaints) {
            display("{}\nmend the text and run the command again; nothing was published", complaints)
        }
        /// The text does not fit a record.
        InvalidRecord(reason: RecordError) {
            source(reason)
            display("{}; split the text or make it shorter; nothing was published", reason)
        }
        /// The log did not answer a read.
        LogReadFailed(reason: PlatformError) {
            source(reason)
            display("the log cannot be read: {}; check --log, or wait until its outage is over and run the command again", reason)
        }
        /// The log did not take the publish, and it is certain that it did not.
        NotAppended(reason: PlatformError) {
            source(reason)
            display("nothing was published, as the log does not take records now: {}; run the command again later", reason)
        }
        /// The publish may stand in the log.
        OutcomeUnknown(id: String, reason: PlatformError) {
            source(reason)
            display("the publish {} may or may not have been accepted, as the log's answer was lost: {}; run 'hornbeamrockctl history' to see", id, reason)
        }
        /// The log has forgotten the newest version, and no process holds it either.
        Undecided(id: String) {
            display("the publish {} stands in the log, but this reader cannot tell which version is current there; run 'hornbeamrockctl history' in a minute", id)
        }
        /// Another publish came first.
        LostRace(refusal: Refusal, diff: String) {
            display("{}; nothing of this text is applied. What the winner changed:\n{}take it up in your text and publish again", refusal, diff)
        }
        /// Readers refused the text.
        Refused(refusal: Refusal) {
            display("{}; nothing of this text is applied", refusal)
        }
        /// Accepted, but some process has not shown it.
        NotActive(version: u64, missing: String) {
            display("version {} is accepted, but was not seen in force in time at: {}; it will be once they can be reached, see 'hornbeamrockctl status'", version, missing)
        }
        /// A process did not answer.
        Process(address: SocketAddr, reason: PlatformError) {
            source(reason)
            display("{} does not answer: {}; check the address and whether the VM lives", address, reason)
        }
        /// A process refused what was asked.
        UnexpectedStatus(address: SocketAddr, status: u16, detail: String) {
            display("{} answered with status {}: {}", address, status, detail)
        }
        /// A process's answer is not what it should be.
        Malformed(address: SocketAddr, reason: serde_json::Error) {
            source(reason)
            display("{} gave an answer that this version cannot read: {}; use the ctl of the same release", address, reason)
        }
        /// No accepted text of this customer.
        NoAcceptedVersion(customer: String) {
            display("customer '{}' has no accepted text in the log; publish one, or check the name", customer)
        }
        /// A token that cannot stand in a header.
        InvalidToken(path: PathBuf) {
            display("{} holds no token: it must be one line of printable characters", path.display())
        }
    }
}

impl ControlError {
    /// The exit code that stands for this failure.
    pub fn exit_code(&self) -> ExitCode {
        match self {
            ControlError::InvalidText(_)
            | ControlError::InvalidRecord(_)
            | ControlError::Refused(_) => ExitCode::InvalidText,
            ControlError::LostRace(..) => ExitCode::LostRace,
            ControlError::NotActive(..) => ExitCode::NotActive,
            ControlError::LogReadFailed(_)
            | ControlError::NotAppended(_)
            | ControlError::OutcomeUnknown(..)
            | ControlError::Undecided(_)
            | ControlError::Process(..) => ExitCode::Unreachable,
            ControlError::FileRead(..) | ControlError::InvalidToken(_) => ExitCode::Settings,
            ControlError::UnexpectedStatus(..)
            | ControlError::Malformed(..)
            | ControlError::NoAcceptedVersion(_) => ExitCode::Fault,
        }
    }
}
