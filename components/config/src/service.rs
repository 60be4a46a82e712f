//! Services and what they depend on.

use std::fmt;

use derive::{key, value};
use types::{Class, CustomerName, PoolName, ServiceName};

use crate::pattern::{normal_path, strip_query};
use crate::{CallPattern, Place};

/// What stands behind a service.
#[key]
pub enum ServiceKind {
    /// Model engines.
    Model,
    /// Plain HTTP services.
    Plain,
}

impl ServiceKind {
    /// Every kind.
    pub const ALL: [ServiceKind; 2] = [ServiceKind::Model, ServiceKind::Plain];

    /// The kind as it stands in the configuration.
    pub fn as_str(self) -> &'static str {
        match self {
            ServiceKind::Model => "model",
            ServiceKind::Plain => "plain",
        }
    }
}

impl fmt::Display for ServiceKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// A service by its full name.
#[value]
#[derive(Hash, PartialOrd, Ord)]
pub struct ServiceRef {
    /// The customer that owns it.
    pub owner: CustomerName,
    /// The service.
    pub service: ServiceName,
}

impl fmt::Display for ServiceRef {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.owner, self.service)
    }
}

/// One entry of `depends_on`.
#[value]
pub struct Dependency {
    /// The service that is depended on.
    pub target: ServiceRef,
    /// Where the text says so.
    pub place: Place,
}

/// One service of a customer, with its defaults filled in.
#[value]
pub struct Service {
    /// The customer.
    pub owner: CustomerName,
    /// Its name.
    pub name: ServiceName,
    /// What stands behind it.
    pub kind: ServiceKind,
    /// Endpoints of this pool host it.
    pub pool: PoolName,
    /// Services that it calls.
    pub depends_on: Vec<Dependency>,
    /// Customers whose services may depend on it.
    pub shared_with: Vec<CustomerName>,
    /// Class of calls that name none.
    pub class: Class,
    /// Time for calls that name no deadline, in milliseconds.
    pub deadline_ms: u32,
    /// How many versions a sample may be behind its trainer; models only.
    pub staleness_bound: u64,
    /// Whether the text states the bound itself.
    pub has_staleness_bound: bool,
    /// Plain service of the same customer that scores the samples; models only.
    pub scorer: Option<ServiceName>,
    /// Calls that may run once only, against the default of their method.
    pub non_idempotent: Vec<CallPattern>,
    /// Calls that may run again, against the default of their method.
    pub idempotent: Vec<CallPattern>,
    /// Where the text names it.
    pub place: Place,
}

/// Methods that RFC 9110 defines as idempotent.
const IDEMPOTENT_METHODS: [&str; 6] = ["GET", "HEAD", "PUT", "DELETE", "OPTIONS", "TRACE"];
/// The one call of a model engine that a caller makes; it only computes.
const COMPLETIONS: (&str, &str) = ("POST", "/v1/completions");

impl Service {
    /// Its full name.
    pub fn target(&self) -> ServiceRef {
        ServiceRef {
            owner: self.owner.clone(),
            service: self.name.clone(),
        }
    }

    /// Whether a call may run more than once. `path` is the path at the endpoint, with
    /// or without a query.
    ///
    /// A path that an endpoint might read in another way than this function (encoded
    /// separators, bad escapes) counts as non-idempotent: otherwise `/%73anctions`
    /// could pass by the pattern `/sanctions` and run twice.
    pub fn is_idempotent(&self, method: &str, path: &str) -> bool {
        let Some(path) = normal_path(strip_query(path)) else {
            return false;
        };
        if self.kind == ServiceKind::Model && (method, path.as_str()) == COMPLETIONS {
            return true;
        }
        let once = |pattern: &CallPattern| pattern.covers(method, &path);
        if self.non_idempotent.iter().any(once) {
            return false;
        }
        let again = |pattern: &CallPattern| pattern.matches(method, &path);
        IDEMPOTENT_METHODS.contains(&method) || self.idempotent.iter().any(again)
    }
}
