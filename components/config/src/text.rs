//! One customer's text after reading.

use std::fmt;
use std::sync::Arc;

use derive::{key, value};
use sha2::{Digest, Sha256};
use types::{Class, CustomerName, Role, ServiceName};

use crate::{Complaint, Place, Service, Target};

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

/// SHA-256 of a bearer token; the token itself is never stored.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TokenDigest(pub [u8; 32]);

impl TokenDigest {
    /// The digest of a token.
    pub fn of(token: &str) -> Self {
        Self(Sha256::digest(token.as_bytes()).into())
    }

    /// Reads 64 hex digits.
    pub fn parse(hex: &str) -> Option<Self> {
        let mut bytes = [0; 32];
        if hex.len() != 2 * bytes.len() || !hex.bytes().all(|b| b.is_ascii_hexdigit()) {
            return None;
        }
        for (at, byte) in bytes.iter_mut().enumerate() {
            *byte = u8::from_str_radix(hex.get(2 * at..2 * at + 2)?, 16).ok()?;
        }
        Some(Self(bytes))
    }
}

impl fmt::Display for TokenDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for TokenDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "TokenDigest({self})")
    }
}

/// One token of a customer.
#[value]
pub struct Token {
    /// Its name, for logs and the status.
    pub name: ServiceName,
    /// What its holder may do.
    pub role: Role,
    /// Services that it is good for; `None` for all.
    pub services: Option<Vec<Target>>,
    /// Best class that its holder may claim, and the class of calls that name none.
    pub class: Option<Class>,
    /// SHA-256 of the token.
    pub digest: TokenDigest,
    /// Where the text names it.
    pub place: Place,
}

impl Token {
    /// Whether the token is good for this service, as far as its list says.
    pub fn covers(&self, target: &Target) -> bool {
        match &self.services {
            Some(services) => services.contains(target),
            None => true,
        }
    }
}

/// One customer's text after reading, with its defaults filled in.
#[value]
pub struct Text {
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

impl Text {
    /// The service with this name.
    pub fn service(&self, name: &ServiceName) -> Option<&Arc<Service>> {
        self.services.iter().find(|service| service.name == *name)
    }
}
