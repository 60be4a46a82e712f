//! Services and their dependencies.

use std::fmt;

use derive::{key, value};
use types::{Class, CustomerName, PoolName, ServiceName};

use crate::pattern::{normal_path, strip_query};
use crate::{CallPattern, Place};

/// Kind of the endpoints that host a service.
#[key]
pub enum ServiceKind {
    /// Model engines.
    Model,
    /// Plain HTTP services.
    Plain,
}

impl ServiceKind {
    /// All kinds, in the order in which messages list them.
    pub const ALL: [ServiceKind; 2] = [ServiceKind::Model, ServiceKind::Plain];

    /// The kind as written in the configuration.
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

/// Reference to a service by owner and name.
#[value]
#[derive(Hash, PartialOrd, Ord)]
pub struct ServiceRef {
    /// Customer that owns the service.
    pub owner: CustomerName,
    /// Name of the service, unique among the owner's services.
    pub service: ServiceName,
}

impl fmt::Display for ServiceRef {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.owner, self.service)
    }
}

/// An entry of `depends_on`.
#[value]
pub struct Dependency {
    /// Service that is called; may belong to another customer.
    pub target: ServiceRef,
    /// Position of the entry in the text.
    pub place: Place,
}

/// A service of a customer, with defaults filled in.
#[value]
pub struct Service {
    /// Customer that owns the service.
    pub owner: CustomerName,
    /// Name of the service, unique among the owner's services.
    pub name: ServiceName,
    /// Whether model engines or plain HTTP services host it.
    pub kind: ServiceKind,
    /// Pool whose endpoints host the service; defaults to a pool with the service's name.
    pub pool: PoolName,
    /// Services that this service calls.
    pub depends_on: Vec<Dependency>,
    /// Other customers whose services may depend on this one.
    pub shared_with: Vec<CustomerName>,
    /// Class of calls that do not state one.
    pub class: Class,
    /// Deadline of calls that do not state one, in milliseconds.
    pub deadline_ms: u32,
    /// Maximum number of versions that a sample may be behind its trainer; only used for models.
    pub staleness_bound: u64,
    /// Whether the text sets `staleness_bound` explicitly.
    pub has_staleness_bound: bool,
    /// Plain service of the same customer that scores the samples; only used for models.
    pub scorer: Option<ServiceName>,
    /// Calls that must not run more than once although their method is idempotent by default.
    pub non_idempotent: Vec<CallPattern>,
    /// Calls that may run more than once although their method is not idempotent by default.
    pub idempotent: Vec<CallPattern>,
    /// Position of the service's name in the text.
    pub place: Place,
}

/// Methods that RFC 9110 defines as idempotent.
const IDEMPOTENT_METHODS: [&str; 6] = ["GET", "HEAD", "PUT", "DELETE", "OPTIONS", "TRACE"];
/// The only call to a model engine that callers make; it has no side effects.
const COMPLETIONS: (&str, &str) = ("POST", "/v1/completions");

impl Service {
    /// Reference to this service.
    pub fn target(&self) -> ServiceRef {
        ServiceRef {
            owner: self.owner.clone(),
            service: self.name.clone(),
        }
    }

    /// Whether a call may run more than once. `path` is the path at the endpoint, with or without a
    /// query.
    ///
    /// A path that an endpoint may interpret differently from this function (encoded separators,
    /// malformed escapes) counts as non-idempotent. Otherwise `/%73anctions` could bypass the
    /// pattern `/sanctions` and run twice.
    pub fn is_idempotent(&self, method: &str, path: &str) -> bool {
        let Some(path) = normal_path(strip_query(path)) else {
            return false;
        };
        if self.kind == ServiceKind::Model && (method, path.as_str()) == COMPLETIONS {
            return true;
        }
        let must_run_once = |pattern: &CallPattern| pattern.covers(method, &path);
        if self.non_idempotent.iter().any(must_run_once) {
            return false;
        }
        let may_run_again = |pattern: &CallPattern| pattern.matches(method, &path);
        IDEMPOTENT_METHODS.contains(&method) || self.idempotent.iter().any(may_run_again)
    }
}
