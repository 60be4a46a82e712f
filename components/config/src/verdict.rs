//! Verdicts of a reader on the log's records.

use derive::value;
use quick_error::quick_error;

use crate::{Complaints, RecordError};

quick_error! {
    /// Why a publish was refused. Every reader that judges a publish finds the same reason.
    // `quick_error!` does not accept doc comments on fields; the field names and messages describe
    // them.
    #[allow(missing_docs)]
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum Refusal {
        /// Another publish with the same base precedes this one in the log.
        Outdated { base: u64, current: u64 } {
            display("based on version {}, but version {} is current: merge its changes and publish again", base, current)
        }
        /// The base is higher than the current version.
        Ahead { base: u64, current: u64 } {
            display("based on version {}, but version {} is the newest", base, current)
        }
        /// The base has the number of the current version but the id of another publish.
        OtherBase { base: u64 } {
            display("based on a different text than the accepted version {}", base)
        }
        /// The rules that the record names require the id of the base, and the record does not
        /// state it.
        BaseUnnamed { base: u64 } {
            display("the publish does not state the id of its base, version {}", base)
        }
        /// The id is empty, too long or that of the current version.
        BadId {
            display("the id is empty, too long or that of the current version")
        }
        /// The text has at least one error.
        Invalid(complaints: Complaints) {
            display("the text does not pass the check:\n{}", complaints)
        }
    }
}

/// Result of applying one record at one reader.
#[value]
pub enum Verdict {
    /// The publish created this version. A duplicate of the publish gets the same verdict.
    Accepted {
        /// Version number.
        version: u64,
    },
    /// The publish has no effect at any reader.
    Refused(Refusal),
    /// This reader does not know which version was current at this offset. It learns the outcome
    /// from a later keep record or from a peer; see [`crate::Ledger::verdict`].
    Undecided,
    /// A peer or keep record had already given this reader the state after this offset.
    Covered,
    /// The publish names rules that this binary does not know; treated like [`Verdict::Undecided`].
    RulesTooNew {
        /// Rules version that the record names.
        rules: u32,
    },
    /// A keep record or peer advanced this reader to `version`, or confirmed that this version is
    /// the current one.
    Learned {
        /// Version number.
        version: u64,
    },
    /// A keep record or peer stated nothing new, or something outdated.
    Known,
    /// A keep record or peer contradicts this reader's own result and is ignored. Occurs only if a
    /// process or a record is faulty.
    Conflict {
        /// Version that the record states.
        version: u64,
        /// Version that this reader holds.
        held: u64,
    },
    /// The record could not be decoded. It has no effect at any reader.
    Unreadable(RecordError),
    /// The kind of the record is unknown to this binary.
    UnknownKind,
    /// The offset is below the next one to read; the record was applied before.
    AlreadyRead,
}
