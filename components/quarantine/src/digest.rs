//! Digest that identifies a call by its customer, service and content.

use std::fmt;

use derive::wire_key;
use sha2::{Digest, Sha256};
use types::{CustomerName, ServiceName};

const DIGEST_BYTES: usize = 16;
/// Bytes of a digest that log lines show.
const SHOWN_BYTES: usize = 8;

/// First 16 bytes of the SHA-256 of customer, service and content. The customer is part of the
/// digest so that no customer can cause the calls of another one to be refused.
#[wire_key]
pub struct CallDigest(pub [u8; DIGEST_BYTES]);

impl CallDigest {
    /// Computes the digest of a call. `content` is the part of the request that is the same for
    /// each submission of the call: method, path and body, but not its request ids.
    pub fn of(customer: &CustomerName, service: &ServiceName, content: &[&[u8]]) -> Self {
        let names = [customer.as_str().as_bytes(), service.as_str().as_bytes()];
        Self::of_parts(names.iter().chain(content))
    }

    /// Computes the digest of parts in their order. The first parts have to name the customer and
    /// the service or host.
    pub fn of_parts<'a>(parts: impl IntoIterator<Item = &'a &'a [u8]>) -> Self {
        let mut builder = DigestBuilder::default();
        for part in parts {
            builder.add_part(part);
        }
        builder.finish()
    }
}

/// Computes a digest piece by piece, with the same result as [`CallDigest::of_parts`].
#[derive(Default)]
pub struct DigestBuilder(Sha256);

impl DigestBuilder {
    /// Adds a whole part.
    pub fn add_part(&mut self, part: &[u8]) {
        self.begin_part(part.len());
        self.update(part);
    }

    /// Begins a part of this length.
    pub fn begin_part(&mut self, bytes: usize) {
        self.0.update((bytes as u64).to_be_bytes());
    }

    /// Adds a piece of the part.
    pub fn update(&mut self, piece: &[u8]) {
        self.0.update(piece);
    }

    /// The digest of all parts.
    pub fn finish(self) -> CallDigest {
        let whole = self.0.finalize();
        let mut digest = [0; DIGEST_BYTES];
        digest.copy_from_slice(&whole[..DIGEST_BYTES]);
        CallDigest(digest)
    }
}

impl fmt::Display for CallDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut shown = self.0.iter().take(SHOWN_BYTES);
        shown.try_for_each(|byte| write!(formatter, "{byte:02x}"))
    }
}
