//! One customer's text after reading.

use std::sync::Arc;

use customers::TokenDigest;
use derive::{key, value};
use types::{Class, CustomerName, Role, ServiceName};

use crate::{Complaint, Place, Service, ServiceRef};

/// Version of the schema that a text is written for.
#[key]
pub struct Schema {
    /// Another major is not read at all.
    pub major: u32,
    /// A higher minor only adds fields.
    pub minor: u32,
}

/// Limits of a customer as a whole.
#[key]
pub struct Limits {
    /// Share in the fair queue.
    pub weight: u32,
    /// Requests that begin in a second.
    pub requests_per_s: u32,
    /// Requests in progress at a time.
    pub in_progress: u32,
    /// Prompt and completion tokens in a second.
    pub tokens_per_s: u32,
}

/// One token of a customer.
#[value]
pub struct Token {
    /// Its name, for logs and the status.
    pub name: ServiceName,
    /// What its holder may do.
    pub role: Role,
    /// Services that it is good for; `None` for all.
    pub services: Option<Vec<ServiceRef>>,
    /// Best class that its holder may claim, and the class of calls that name none.
    pub class: Option<Class>,
    /// SHA-256 of the token.
    pub digest: TokenDigest,
    /// Where the text names it.
    pub place: Place,
}

impl Token {
    /// Whether the token is good for this service, as far as its list says.
    pub fn covers(&self, target: &ServiceRef) -> bool {
        match &self.services {
            Some(services) => services.contains(target),
            None => true,
        }
    }
}

/// One customer's text after reading, with its defaults filled in.
#[value]
pub struct CustomerConfig {
    /// File that it came from, or another name for its origin.
    pub file: Arc<str>,
    /// Schema that it is written for.
    pub schema: Schema,
    /// The customer.
    pub customer: CustomerName,
    /// Where the text names the customer.
    pub place: Place,
    /// Limits of the customer as a whole.
    pub limits: Limits,
    /// Its tokens.
    pub tokens: Vec<Token>,
    /// Its services.
    pub services: Vec<Arc<Service>>,
    /// What was let pass, such as fields of a newer schema.
    pub warnings: Vec<Complaint>,
}

impl CustomerConfig {
    /// The service with this name.
    pub fn service(&self, name: &ServiceName) -> Option<&Arc<Service>> {
        self.services.iter().find(|service| service.name == *name)
    }
}
