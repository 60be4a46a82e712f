//! Errors of operators' commands, with their exit codes. Each message states what to do next.

use std::net::SocketAddr;
use std::path::PathBuf;

use adapters::PlatformError;
use config::{Complaints, RecordError, Refusal};
use quick_error::quick_error;

/// Exit codes of `hornbeamrockctl`, as listed in its manual page.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitCode {
    /// The command succeeded.
    Done = 0,
    /// The command failed for a reason without a code of its own.
    Fault = 1,
    /// A flag, a setting or a file named by one is invalid.
    Settings = 2,
    /// The text was refused by the check or by the log's readers.
    InvalidText = 3,
    /// Another publish with the same base precedes this one in the log.
    LostRace = 4,
    /// The publish was accepted, but did not become active at every process in time.
    NotActive = 5,
    /// The platform or a process did not answer; the outcome may be unknown.
    Unreachable = 6,
}

quick_error! {
    /// Why an operator's command failed.
    #[derive(Debug)]
    pub enum ControlError {
        /// A file could not be read.
        FileRead(path: PathBuf, reason: std::io::Error) {
            source(reason)
            display("cannot read the file {}: {}; name an existing file that you have permission to read", path.display(), reason)
        }
        /// The text did not pass the check, so it was not published.
        InvalidText(complaints: Complaints) {
            display("{}\ncorrect the text and run the command again; nothing was published", complaints)
        }
        /// The text does not fit into a record of the log.
        InvalidRecord(reason: RecordError) {
            source(reason)
            display("cannot publish the text: {}; split or shorten the text; nothing was published", reason)
        }
        /// A read of the log failed.
        LogReadFailed(reason: PlatformError) {
            source(reason)
            display("cannot read the log: {}; check --log, or wait until the outage is over and run the command again", reason)
        }
        /// The publish was certainly not appended to the log.
        NotAppended(reason: PlatformError) {
            source(reason)
            display("cannot append the publish to the log: {}; nothing was published; run the command again later", reason)
        }
        /// The publish may have been appended to the log.
        OutcomeUnknown(id: String, reason: PlatformError) {
            source(reason)
            display("the outcome of publish {} is unknown because the log's answer was lost: {}; run 'hornbeamrockctl history' to see whether it was accepted", id, reason)
        }
        /// The publish is in the log, but its verdict could not be determined, for example because
        /// the records that show the current version have been removed.
        Undecided(id: String) {
            display("the publish {} is in the log, but this reader cannot determine which version is current at its offset; run 'hornbeamrockctl history' in a minute", id)
        }
        /// Another publish with the same base precedes this one in the log; holds the refusal and a
        /// diff of the changes made since that base.
        LostRace(refusal: Refusal, diff: String) {
            display("{}; nothing of this text was applied. Changes since the base of this text:\n{}merge these changes into your text and publish again", refusal, diff)
        }
        /// The log's readers refuse the publish for another reason.
        Refused(refusal: Refusal) {
            display("publish refused: {}; nothing of this text was applied", refusal)
        }
        /// The publish was accepted, but some processes did not report the version as active in
        /// time.
        NotActive(version: u64, missing: String) {
            display("version {} was accepted, but did not become active in time at: {}; it becomes active there once these processes are reachable, see 'hornbeamrockctl status'", version, missing)
        }
        /// A process did not answer a request.
        Process(address: SocketAddr, reason: PlatformError) {
            source(reason)
            display("no answer from {}: {}; check the address and whether the VM is running", address, reason)
        }
        /// A process answered with an unexpected status.
        UnexpectedStatus(address: SocketAddr, status: u16, detail: String) {
            display("{} answered with status {}: {}", address, status, detail)
        }
        /// The answer of a process could not be decoded.
        Malformed(address: SocketAddr, reason: serde_json::Error) {
            source(reason)
            display("cannot decode the answer of {}: {}; use the hornbeamrockctl of the same release", address, reason)
        }
        /// The log has no accepted text of this customer.
        NoAcceptedVersion(customer: String) {
            display("customer '{}' has no accepted text in the log; publish one or check the name", customer)
        }
        /// The file does not contain a token that can be sent in a header.
        InvalidToken(path: PathBuf) {
            display("invalid token in file {}: expected one line of printable characters without spaces", path.display())
        }
    }
}

impl ControlError {
    /// The exit code of this error.
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
