//! Accepted versions of customers' configurations.

use std::sync::Arc;

use derive::value;
use sha2::{Digest, Sha256};
use types::CustomerName;

use crate::CustomerConfig;

/// An accepted version of one customer's configuration.
#[value]
pub struct AcceptedVersion {
    /// Customer that the version belongs to.
    pub customer: CustomerName,
    /// Version number; the first accepted publish creates version 1.
    pub version: u64,
    /// Id of the publish that created the version.
    pub id: String,
    /// Version of the rules that the publish was checked against.
    pub rules: u32,
    /// The TOML text as published.
    pub source: Arc<str>,
    /// The configuration parsed from `source`.
    pub config: Arc<CustomerConfig>,
    digest: u64,
}

impl AcceptedVersion {
    /// Creates a version from a publish or keep record and the configuration parsed from its text.
    pub(crate) fn new(record: VersionedRecord<'_>, config: CustomerConfig) -> Self {
        Self {
            customer: record.customer.clone(),
            version: record.version,
            id: record.id.to_owned(),
            rules: record.rules,
            source: Arc::from(record.source),
            config: Arc::new(config),
            digest: source_digest(record.source),
        }
    }

    /// First 8 bytes of the text's SHA-256, used to compare versions between processes.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Version and digest that this process sends to its peers, which compare them with their own.
    pub fn version_digest(&self) -> VersionDigest {
        VersionDigest {
            customer: self.customer.clone(),
            version: self.version,
            digest: self.digest(),
        }
    }
}

/// Fields that publish and keep records have in common.
pub(crate) struct VersionedRecord<'r> {
    pub(crate) customer: &'r CustomerName,
    pub(crate) version: u64,
    pub(crate) id: &'r str,
    pub(crate) rules: u32,
    pub(crate) source: &'r str,
}

/// Version and digest of one customer's text, small enough for a datagram.
#[value]
pub struct VersionDigest {
    /// Customer that the version belongs to.
    pub customer: CustomerName,
    /// Accepted version that the sender holds.
    pub version: u64,
    /// First 8 bytes of the text's SHA-256.
    pub digest: u64,
}

pub(crate) fn source_digest(source: &str) -> u64 {
    let digest: [u8; 32] = Sha256::digest(source.as_bytes()).into();
    let first = digest.first_chunk::<8>();
    first.map_or(0, |bytes| u64::from_be_bytes(*bytes))
}

/// Version number of an accepted version; 0 for `None`.
pub(crate) fn version_of(accepted: &Option<Arc<AcceptedVersion>>) -> u64 {
    accepted.as_ref().map_or(0, |accepted| accepted.version)
}

/// Whether both are given and differ in text or publish id. The caller passes accounts of the same
/// version number, so a difference means that one of them is wrong.
pub(crate) fn contradicts(
    first: Option<&AcceptedVersion>,
    second: Option<&AcceptedVersion>,
) -> bool {
    match (first, second) {
        (Some(first), Some(second)) => first.source != second.source || first.id != second.id,
        _ => false,
    }
}
