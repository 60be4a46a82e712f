//! Accepted versions.

use std::sync::Arc;

use derive::value;
use sha2::{Digest, Sha256};
use types::CustomerName;

use crate::CustomerConfig;

/// One accepted version of a customer's text.
#[value]
pub struct AcceptedVersion {
    /// The customer.
    pub customer: CustomerName,
    /// Its version, from 1.
    pub version: u64,
    /// Id of the publish that made it.
    pub id: String,
    /// Rules version by which it was judged.
    pub rules: u32,
    /// The text as published.
    pub source: Arc<str>,
    /// The text after reading.
    pub config: Arc<CustomerConfig>,
    digest: u64,
}

impl AcceptedVersion {
    /// A version that a publish or keep record holds, with its text as read.
    pub(crate) fn new(record: VersionedRecord<'_>, text: CustomerConfig) -> Self {
        Self {
            customer: record.customer.clone(),
            version: record.version,
            id: record.id.to_owned(),
            rules: record.rules,
            source: Arc::from(record.source),
            config: Arc::new(text),
            digest: source_digest(record.source),
        }
    }

    /// First 8 bytes of the text's SHA-256, for comparing with other processes.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// What goes to other processes so that they can compare.
    pub fn version_digest(&self) -> VersionDigest {
        VersionDigest {
            customer: self.customer.clone(),
            version: self.version,
            digest: self.digest(),
        }
    }
}

/// What publish and keep records have in common.
pub(crate) struct VersionedRecord<'r> {
    pub(crate) customer: &'r CustomerName,
    pub(crate) version: u64,
    pub(crate) id: &'r str,
    pub(crate) rules: u32,
    pub(crate) source: &'r str,
}

/// Version of one customer's text, short enough for a datagram.
#[value]
pub struct VersionDigest {
    /// The customer.
    pub customer: CustomerName,
    /// The version.
    pub version: u64,
    /// First 8 bytes of the text's SHA-256.
    pub digest: u64,
}

pub(crate) fn source_digest(source: &str) -> u64 {
    let digest: [u8; 32] = Sha256::digest(source.as_bytes()).into();
    let first = digest.first_chunk::<8>();
    first.map_or(0, |bytes| u64::from_be_bytes(*bytes))
}

/// The version, 0 for none.
pub(crate) fn version_of(accepted: &Option<Arc<AcceptedVersion>>) -> u64 {
    accepted.as_ref().map_or(0, |accepted| accepted.version)
}

/// Whether two accounts of one version contradict each other.
pub(crate) fn contradicts(one: Option<&AcceptedVersion>, other: Option<&AcceptedVersion>) -> bool {
    match (one, other) {
        (Some(one), Some(other)) => one.source != other.source || one.id != other.id,
        _ => false,
    }
}
