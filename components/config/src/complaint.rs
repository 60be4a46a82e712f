//! Complaints about a text: where, what and what is allowed.

use std::fmt;
use std::sync::Arc;

use derive::{key, value};
use quick_error::quick_error;
use types::NameError;

use crate::{PatternError, Place, ServiceKind};

quick_error! {
    /// What is wrong, with what is allowed.
    // `quick_error!` takes no doc comments on fields; their names and the texts say it.
    #[allow(missing_docs)]
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum ComplaintCause {
        /// The text is over its limit.
        TooLarge { bytes: usize, max: usize } {
            display("the text has {} bytes, at most {} are allowed", bytes, max)
        }
        /// Not TOML.
        Syntax(message: String) {
            display("{}", message)
        }
        /// Tables and lists nested too deep.
        TooDeep { max: usize } {
            display("nested too deep, at most {} levels are allowed", max)
        }
        /// The schema is not one that is read here.
        UnknownSchema { found: String } {
            display("schema {} is not known: write schema = 1, or schema = \"1.MINOR\" for a newer minor", found)
        }
        /// A field that the schema does not have.
        UnknownField { field: String, nearest: Option<String>, allowed: String } {
            display("unknown field '{}'{}; allowed: {}", field, suggestion(nearest), allowed)
        }
        /// A field of a newer schema, let pass.
        NewerField { field: String } {
            display("field '{}' is not known to these rules and has no effect yet", field)
        }
        /// A field that has to be there.
        MissingField { field: &'static str, wanted: &'static str } {
            display("field '{}' is missing: {}", field, wanted)
        }
        /// A value of another type.
        WrongType { field: String, found: &'static str, wanted: &'static str } {
            display("field '{}' is a {}, wanted: {}", field, found, wanted)
        }
        /// A number outside its range.
        OutOfRange { field: &'static str, found: String, min: u64, max: u64 } {
            display("field '{}' is {}, allowed: {} to {}", field, found, min, max)
        }
        /// Not a name.
        BadName { field: String, text: String, error: NameError } {
            display("'{}' in field '{}' is not a name: {}", text, field, error)
        }
        /// Not one of the words.
        UnknownWord { field: &'static str, found: String, nearest: Option<String>, allowed: String } {
            display("'{}' in field '{}' is not known{}; allowed: {}", found, field, suggestion(nearest), allowed)
        }
        /// Too many entries.
        TooMany { field: &'static str, found: usize, max: usize } {
            display("field '{}' has {} entries, at most {} are allowed", field, found, max)
        }
        /// Not a digest.
        BadDigest {
            display("field 'sha256' is not the SHA-256 of a token: write its 64 hex digits")
        }
        /// Not a pattern of calls.
        BadPattern { text: String, error: PatternError } {
            display("'{}' is not a pattern of calls: {}", text, error)
        }
        /// The same thing twice.
        Duplicate { what: &'static str, name: String, first: Place } {
            display("{} '{}' stands here a second time, first at {}", what, name, first)
        }
        /// A service that the customer does not have.
        UnknownService { name: String, nearest: Option<String> } {
            display("unknown service '{}'{}", name, suggestion(nearest))
        }
        /// Dependencies that come back to where they began.
        Cycle { path: String } {
            display("the dependencies form a cycle: {}", path)
        }
        /// A scorer that is a model.
        ScorerNotPlain { name: String } {
            display("'{}' is a model; a scorer is a plain service", name)
        }
        /// A trainer token for a plain service.
        TrainerOfPlain { name: String } {
            display("'{}' is a plain service; a trainer token names models", name)
        }
        /// A trainer or operator token for another customer's service.
        OtherCustomersService { name: String } {
            display("'{}' is another customer's; only a caller token may name it", name)
        }
        /// A field that this kind of service does not have.
        NotForKind { field: &'static str, kind: ServiceKind } {
            display("field '{}' has no meaning for a {} service", field, kind)
        }
        /// A model with a trainer and no staleness bound.
        StalenessUnstated { model: String } {
            display("model '{}' has a trainer token but no 'staleness_bound': state how many versions a sample may be behind", model)
        }
        /// The text is another customer's than the record says.
        OtherCustomer { wanted: String } {
            display("the text is published for customer '{}'", wanted)
        }
        /// A customer that has no accepted text.
        UnknownCustomer { name: String, nearest: Option<String> } {
            display("customer '{}' has no accepted text{}", name, suggestion(nearest))
        }
        /// Another customer's service that is not shared.
        Private { target: String, customer: String } {
            display("'{}' is not shared with '{}': its owner has to list the customer in 'shared_with'", target, customer)
        }
        /// A service of which other customers make use.
        StillUsed { service: String, by: String } {
            display("service '{}' cannot go while it is shared and used by {}: first publish it without them in 'shared_with'", service, by)
        }
        /// A service that other customers use and that is no longer shared with them.
        Unshared { service: String, by: String } {
            display("service '{}' is no longer shared, and the dependency of {} goes out of force", service, by)
        }
        /// A token that another customer has as well.
        TokenTaken { name: String } {
            display("token '{}' is another customer's as well: make a new one that begins with the customer's name and a dot", name)
        }
        /// Rules that this binary does not know.
        UnknownRules { rules: u32 } {
            display("rules version {} is not known to this binary", rules)
        }
    }
}

fn suggestion(nearest: &Option<String>) -> String {
    match nearest {
        Some(name) => format!(", did you mean '{name}'?"),
        None => String::new(),
    }
}

/// Whether a complaint stops a publish.
#[key]
pub enum Severity {
    /// Let pass.
    Warning,
    /// Stops the publish.
    Error,
}

/// One complaint.
#[value]
pub struct Complaint {
    /// File that the text came from, or another name for its origin.
    pub file: Arc<str>,
    /// Where in the text.
    pub place: Place,
    /// Whether it stops a publish.
    pub severity: Severity,
    /// What is wrong.
    pub cause: ComplaintCause,
}

impl fmt::Display for Complaint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let word = match self.severity {
            Severity::Warning => "warning",
            Severity::Error => "error",
        };
        write!(f, "{}:{}: {word}: {}", self.file, self.place, self.cause)
    }
}

/// All complaints about a text, in the order of their places.
#[value]
#[derive(Default)]
pub struct Complaints(pub Vec<Complaint>);

impl Complaints {
    /// Whether one of them stops a publish.
    pub fn has_errors(&self) -> bool {
        let stops = |complaint: &Complaint| complaint.severity == Severity::Error;
        self.0.iter().any(stops)
    }
}

impl fmt::Display for Complaints {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (at, complaint) in self.0.iter().enumerate() {
            let line_break = if at == 0 { "" } else { "\n" };
            write!(f, "{line_break}{complaint}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Complaints {}

/// Gathers complaints about one text.
pub(crate) struct Report {
    file: Arc<str>,
    complaints: Vec<Complaint>,
}

/// Most complaints that are gathered: more help nobody, and each holds its words.
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
        // An error is always kept, however many warnings came before it: without one
        // the text would count as good.
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

    /// Whether more errors would be dropped, so that looking for them is in vain.
    pub(crate) fn is_full(&self) -> bool {
        self.complaints.len() >= COMPLAINTS_MAX && self.has_errors()
    }

    pub(crate) fn file(&self) -> Arc<str> {
        Arc::clone(&self.file)
    }

    pub(crate) fn has_errors(&self) -> bool {
        let stops = |complaint: &Complaint| complaint.severity == Severity::Error;
        self.complaints.iter().any(stops)
    }

    pub(crate) fn finish(mut self) -> Complaints {
        self.complaints.sort_by_key(|complaint| complaint.place);
        Complaints(self.complaints)
    }
}
