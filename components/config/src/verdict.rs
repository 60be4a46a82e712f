//! Verdicts on records.

use derive::value;
use quick_error::quick_error;

use crate::{Complaints, RecordError};

quick_error! {
    /// Why a publish was refused, the same at every reader.
    // `quick_error!` takes no doc comments on fields; their names and the texts say it.
    #[allow(missing_docs)]
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum Refusal {
        /// Another publish came first in the log's order.
        Outdated { base: u64, current: u64 } {
            display("made on version {}, but version {} is current: take it up and publish again", base, current)
        }
        /// The base does not exist yet.
        Ahead { base: u64, current: u64 } {
            display("made on version {}, but version {} is the newest", base, current)
        }
        /// The base has the right number but is another text.
        OtherBase { base: u64 } {
            display("made on another text than the accepted version {}", base)
        }
        /// The base's id has to be stated under the record's rules.
        BaseUnnamed { base: u64 } {
            display("does not name the id of its base, version {}", base)
        }
        /// The id is empty or too long, or is that of the current version.
        BadId {
            display("the id is empty, too long or that of the current version")
        }
        /// The text does not pass the check.
        Invalid(complaints: Complaints) {
            display("the text does not pass the check:\n{}", complaints)
        }
    }
}

/// What a reader makes of one record.
#[value]
pub enum Verdict {
    /// The publish made this version; so does a copy of it.
    Accepted {
        /// The version.
        version: u64,
    },
    /// The publish changes nothing, at any reader.
    Refused(Refusal),
    /// This reader does not know which version was current at this offset. It learns
    /// the outcome from a keep record or a peer; see [`crate::Ledger::verdict`].
    Undecided,
    /// This reader already had the state after this offset from a peer or keep record.
    Covered,
    /// The publish has rules that this binary does not know; as [`Verdict::Undecided`].
    RulesTooNew {
        /// The rules version.
        rules: u32,
    },
    /// A keep record or peer that brought this reader forward to `version`, or told it
    /// that this version is the current one.
    Learned {
        /// The version.
        version: u64,
    },
    /// A keep record or peer that says nothing new, or is old news.
    Known,
    /// A keep record or peer that contradicts what this reader worked out; it is not
    /// followed. Never happens unless a process or a record is at fault.
    Conflict {
        /// Version in the record.
        version: u64,
        /// Version that this reader holds.
        held: u64,
    },
    /// The record could not be read; it counts for nobody.
    Unreadable(RecordError),
    /// The record is of a kind that this binary does not know.
    UnknownKind,
    /// The offset lies before what was read.
    AlreadyRead,
}
