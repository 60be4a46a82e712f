//! A customer's configuration, parsed from its text.

use std::sync::Arc;

use customers::TokenDigest;
use derive::{key, value};
use types::{Class, CustomerName, Role, ServiceName};

use crate::{Complaint, Place, Service, ServiceRef};

/// Version of the schema that a text is written for.
#[key]
pub struct Schema {
    /// Texts with another major than the supported one are refused.
    pub major: u32,
    /// Higher minors only add fields.
    pub minor: u32,
}

/// Limits that apply to all requests of a customer together.
#[key]
pub struct Limits {
    /// Weight of the customer in fair queueing.
    pub weight: u32,
    /// Maximum rate of new requests, in requests per second.
    pub requests_per_s: u32,
    /// Maximum number of concurrent requests.
    pub in_progress: u32,
    /// Maximum rate of prompt and completion tokens, in tokens per second.
    pub tokens_per_s: u32,
}

/// A bearer token of a customer. The configuration holds only its digest.
#[value]
pub struct Token {
    /// Name of the token in logs and on the status page.
    pub name: ServiceName,
    /// Role that the token grants.
    pub role: Role,
    /// Services that the token is valid for; `None` for all.
    pub services: Option<Vec<ServiceRef>>,
    /// Best class that requests with this token may use, and the class of requests that do not
    /// state one.
    pub class: Option<Class>,
    /// SHA-256 digest of the token.
    pub digest: TokenDigest,
    /// Position of the token's name in the text.
    pub place: Place,
}

impl Token {
    /// Whether the token's list of services includes this one. Does not check ownership or role.
    pub fn covers(&self, target: &ServiceRef) -> bool {
        match &self.services {
            Some(services) => services.contains(target),
            None => true,
        }
    }
}

/// A customer's configuration, with defaults filled in.
#[value]
pub struct CustomerConfig {
    /// Path of the text's file, or another description of its origin.
    pub file: Arc<str>,
    /// Schema version that the text states.
    pub schema: Schema,
    /// Customer that the configuration belongs to.
    pub customer: CustomerName,
    /// Position of the customer's name in the text.
    pub place: Place,
    /// Limits of the customer as a whole.
    pub limits: Limits,
    /// Bearer tokens of the customer, in the order of the text.
    pub tokens: Vec<Token>,
    /// Services of the customer, in the order of the text.
    pub services: Vec<Arc<Service>>,
    /// Complaints that did not cause a refusal, such as fields of a newer schema.
    pub warnings: Vec<Complaint>,
}

impl CustomerConfig {
    /// The service with this name, if the customer has one.
    pub fn service(&self, name: &ServiceName) -> Option<&Arc<Service>> {
        self.services.iter().find(|service| service.name == *name)
    }
}
