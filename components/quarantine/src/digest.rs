//! Digest that names a call by its customer and content.

use derive::key;
use sha2::{Digest, Sha256};
use types::{CustomerName, ServiceName};

const DIGEST_BYTES: usize = 16;

/// First 16 bytes of the SHA-256 over customer, service and content. One customer's
/// calls never have another customer's digests, so nobody can have another's refused.
#[key]
pub struct CallDigest(pub [u8; DIGEST_BYTES]);

impl CallDigest {
    /// Digest of a call; `content` is what the endpoint gets: method, path and body, but
    /// not the ids that each submission has anew.
    pub fn of(customer: &CustomerName, service: &ServiceName, content: &[&[u8]]) -> Self {
        let names = [customer.as_str().as_bytes(), service.as_str().as_bytes()];
        let mut hash = Sha256::new();
        for part in names.iter().chain(content) {
            hash.update((part.len() as u64).to_be_bytes());
            hash.update(part);
        }
        let whole = hash.finalize();
        let mut digest = [0; DIGEST_BYTES];
        digest.copy_from_slice(&whole[..DIGEST_BYTES]);
        Self(digest)
    }
}
