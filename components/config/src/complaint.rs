//! Complaints about a text: their place, their cause and the values that are allowed.

use std::fmt;
use std::sync::Arc;

use derive::{key, value};
use quick_error::quick_error;
use types::NameError;

use crate::{PatternError, Place, ServiceKind};

quick_error! {
    /// Why a text is rejected or draws a warning. The messages state what is allowed.
    // `quick_error!` does not accept doc comments on fields; the field names and messages describe
    // them.
    #[allow(missing_docs)]
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum ComplaintCause {
        /// The text exceeds [`crate::TEXT_BYTES_MAX`].
        TooLarge { bytes: usize, max: usize } {
            display("the text has {} bytes, at most {} are allowed", bytes, max)
        }
        /// The text is not valid TOML; holds the message of the TOML parser.
        Syntax(message: String) {
            display("{}", message)
        }
        /// Tables, lists or dotted keys are nested more than [`crate::DEPTH_MAX`] levels deep.
        TooDeep { max: usize } {
            display("nested too deep, at most {} levels are allowed", max)
        }
        /// The text has another schema major than 1.
        UnknownSchema { found: String } {
            display("schema {} is not supported: write schema = 1, or schema = \"1.MINOR\" for a newer minor", found)
        }
        /// The schema has no such field.
        UnknownField { field: String, nearest: Option<String>, allowed: String } {
            display("unknown field '{}'{}; allowed: {}", field, suggestion(nearest), allowed)
        }
        /// The field may belong to a newer schema minor, so it only draws a warning.
        NewerField { field: String } {
            display("unknown field '{}': it may belong to a newer schema and has no effect", field)
        }
        /// A required field is missing.
        MissingField { field: &'static str, wanted: &'static str } {
            display("field '{}' is missing: {}", field, wanted)
        }
        /// A field's value has the wrong type.
        WrongType { field: String, found: &'static str, wanted: &'static str } {
            display("field '{}' is a {}, expected: {}", field, found, wanted)
        }
        /// A number is outside of its range.
        OutOfRange { field: &'static str, found: String, min: u64, max: u64 } {
            display("field '{}' is {}, allowed: {} to {}", field, found, min, max)
        }
        /// A value does not follow the rules for names.
        BadName { field: String, text: String, error: NameError } {
            display("invalid name '{}' in field '{}': {}", text, field, error)
        }
        /// A value is not one of the allowed texts.
        UnknownWord { field: &'static str, found: String, nearest: Option<String>, allowed: String } {
            display("unknown value '{}' in field '{}'{}; allowed: {}", found, field, suggestion(nearest), allowed)
        }
        /// A list exceeds its maximum length.
        TooMany { field: &'static str, found: usize, max: usize } {
            display("field '{}' has {} entries, at most {} are allowed", field, found, max)
        }
        /// A token's `sha256` is not 64 hexadecimal digits.
        BadDigest {
            display("field 'sha256' is not the SHA-256 of a token: write its 64 hex digits")
        }
        /// An entry of `idempotent` or `non_idempotent` is not a call pattern.
        BadPattern { text: String, error: PatternError } {
            display("invalid call pattern '{}': {}", text, error)
        }
        /// A service, token, token digest, dependency or customer is listed twice.
        Duplicate { what: &'static str, name: String, first: Place } {
            display("{} '{}' is listed twice, first at {}", what, name, first)
        }
        /// The text refers to a service that it does not define.
        UnknownService { name: String, nearest: Option<String> } {
            display("unknown service '{}'{}", name, suggestion(nearest))
        }
        /// The dependencies between services form a cycle.
        Cycle { path: String } {
            display("the dependencies form a cycle: {}", path)
        }
        /// The scorer of a model is not a plain service.
        ScorerNotPlain { name: String } {
            display("'{}' is a model; a scorer is a plain service", name)
        }
        /// A trainer token lists a plain service.
        TrainerOfPlain { name: String } {
            display("'{}' is a plain service; a trainer token names models", name)
        }
        /// A trainer or operator token lists another customer's service.
        OtherCustomersService { name: String } {
            display("'{}' is another customer's; only a caller token may name it", name)
        }
        /// The field applies only to the other kind of service.
        NotForKind { field: &'static str, kind: ServiceKind } {
            display("field '{}' has no meaning for a {} service", field, kind)
        }
        /// A model that a trainer token covers does not state its staleness bound.
        StalenessUnstated { model: String } {
            display("model '{}' has a trainer token but no 'staleness_bound': state how many versions a sample may be behind", model)
        }
        /// The text names another customer than the record that publishes it.
        OtherCustomer { wanted: String } {
            display("the text is published for customer '{}'", wanted)
        }
        /// A dependency names a customer without an accepted text.
        UnknownCustomer { name: String, nearest: Option<String> } {
            display("customer '{}' has no accepted text{}", name, suggestion(nearest))
        }
        /// A dependency names another customer's service that does not exist or is not shared.
        Private { target: String, customer: String } {
            display("'{}' is not shared with '{}': its owner has to list the customer in 'shared_with'", target, customer)
        }
        /// The text removes a service that another customer depends on.
        StillUsed { service: String, by: String } {
            display("service '{}' cannot be removed while it is shared with and used by {}: first publish a text that no longer lists that customer in 'shared_with'", service, by)
        }
        /// The text stops sharing a service that another customer depends on.
        Unshared { service: String, by: String } {
            display("service '{}' is no longer shared, and the dependency of {} becomes inactive", service, by)
        }
        /// Another customer's text has a token with the same digest.
        TokenTaken { name: String } {
            display("token '{}' is also used by another customer: create a new one that begins with the customer's name and a dot", name)
        }
        /// The record names a rules version that this binary does not know.
        UnknownRules { rules: u32 } {
            display("rules version {} is not supported by this binary", rules)
        }
    }
}

fn suggestion(nearest: &Option<String>) -> String {
    match nearest {
        Some(name) => format!(", did you mean '{name}'?"),
        None => String::new(),
    }
}

/// Severity of a complaint.
#[key]
pub enum Severity {
    /// The text is accepted.
    Warning,
    /// The text is refused.
    Error,
}

/// A problem found in a text.
#[value]
pub struct Complaint {
    /// Path of the text's file, or another description of its origin.
    pub file: Arc<str>,
    /// Position of the problem in the text.
    pub place: Place,
    /// Whether the text is refused because of this complaint.
    pub severity: Severity,
    /// The problem and the values that are allowed.
    pub cause: ComplaintCause,
}

impl fmt::Display for Complaint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let label = match self.severity {
            Severity::Warning => "warning",
            Severity::Error => "error",
        };
        write!(f, "{}:{}: {label}: {}", self.file, self.place, self.cause)
    }
}

/// All complaints about a text, sorted by position.
#[value]
#[derive(Default)]
pub struct Complaints(pub Vec<Complaint>);

impl Complaints {
    /// Whether at least one complaint is an error.
    pub fn has_errors(&self) -> bool {
        let is_error = |complaint: &Complaint| complaint.severity == Severity::Error;
        self.0.iter().any(is_error)
    }
}

impl fmt::Display for Complaints {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, complaint) in self.0.iter().enumerate() {
            let line_break = if index == 0 { "" } else { "\n" };
            write!(f, "{line_break}{complaint}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Complaints {}

/// Collects the complaints about one text.
pub(crate) struct Report {
    file: Arc<str>,
    complaints: Vec<Complaint>,
}

/// Maximum number of complaints kept per text. More do not help the author, and each one keeps
/// excerpts of the text in memory.
const COMPLAINTS_MAX: usize = 100;

impl Report {
    pub(crate) fn new(file: &str) -> Self {
        Self {
            file: Arc::from(file),
            complaints: Vec::new(),
        }
    }

    pub(crate) fn add_error(&mut self, place: Place, cause: ComplaintCause) {
        self.add(place, Severity::Error, cause);
    }

    pub(crate) fn add_warning(&mut self, place: Place, cause: ComplaintCause) {
        self.add(place, Severity::Warning, cause);
    }

    fn add(&mut self, place: Place, severity: Severity, cause: ComplaintCause) {
        // The first error is kept even when the list is full of warnings: without an error the text
        // would be accepted.
        let full = self.complaints.len() >= COMPLAINTS_MAX;
        if full && (severity == Severity::Warning || self.has_errors()) {
            return;
        }
        self.complaints.push(Complaint {
            file: Arc::clone(&self.file),
            place,
            severity,
            cause,
        });
    }

    /// Whether further errors would be dropped, so that callers can stop searching for them.
    pub(crate) fn is_full(&self) -> bool {
        self.complaints.len() >= COMPLAINTS_MAX && self.has_errors()
    }

    pub(crate) fn file(&self) -> Arc<str> {
        Arc::clone(&self.file)
    }

    pub(crate) fn has_errors(&self) -> bool {
        let is_error = |complaint: &Complaint| complaint.severity == Severity::Error;
        self.complaints.iter().any(is_error)
    }

    pub(crate) fn finish(mut self) -> Complaints {
        self.complaints.sort_by_key(|complaint| complaint.place);
        Complaints(self.complaints)
    }
}
