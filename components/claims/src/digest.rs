//! Digests of keys and requests. Keys can contain personal data, so records hold only their
//! digests.

use std::fmt;

use derive::key;
use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use types::{CustomerName, ServiceName};

const DIGEST_BYTES: usize = 16;

quick_error! {
    /// Why a text could not be parsed as a digest.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum DigestError {
        /// The text does not consist of 32 hexadecimal digits.
        Malformed {
            display("malformed digest: expected 32 hexadecimal digits")
        }
    }
}

macro_rules! digests {
    ($($(#[$doc:meta])* $name:ident),* $(,)?) => {$(
        $(#[$doc])*
        #[key]
        #[derive(Serialize, Deserialize)]
        #[serde(into = "String", try_from = "String")]
        pub struct $name([u8; DIGEST_BYTES]);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{:032x}", u128::from_be_bytes(self.0))
            }
        }

        impl From<$name> for String {
            fn from(digest: $name) -> String {
                digest.to_string()
            }
        }

        impl TryFrom<String> for $name {
            type Error = DigestError;

            fn try_from(text: String) -> Result<Self, DigestError> {
                let is_hex = text.bytes().all(|byte| byte.is_ascii_hexdigit());
                if text.len() != 2 * DIGEST_BYTES || !is_hex {
                    return Err(DigestError::Malformed);
                }
                u128::from_str_radix(&text, 16)
                    .map(|number| Self(number.to_be_bytes()))
                    .map_err(|_| DigestError::Malformed)
            }
        }
    )*};
}

digests! {
    /// Digest of an idempotency key together with its customer.
    KeyDigest,
    /// Digest of a request's service, method, path and body.
    RequestDigest,
}

impl KeyDigest {
    /// Digest of a customer's key. Equal keys of two customers have different digests.
    pub fn of(customer: &CustomerName, key: &str) -> Self {
        Self(digest(&[customer.as_str().as_bytes(), key.as_bytes()]))
    }

    pub(crate) fn bytes(self) -> [u8; DIGEST_BYTES] {
        self.0
    }
}

impl RequestDigest {
    /// Digest of a request to `service` of `owner`.
    pub fn of(
        owner: &CustomerName,
        service: &ServiceName,
        method: &str,
        path: &str,
        body: &[u8],
    ) -> Self {
        Self(digest(&[
            owner.as_str().as_bytes(),
            service.as_str().as_bytes(),
            method.as_bytes(),
            path.as_bytes(),
            body,
        ]))
    }
}

fn digest(parts: &[&[u8]]) -> [u8; DIGEST_BYTES] {
    let mut hash = Sha256::new();
    for part in parts {
        hash.update((part.len() as u64).to_be_bytes());
        hash.update(part);
    }
    let full = hash.finalize();
    let mut digest = [0; DIGEST_BYTES];
    digest.copy_from_slice(&full[..DIGEST_BYTES]);
    digest
}
