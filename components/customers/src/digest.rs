use std::fmt;

use sha2::{Digest, Sha256};

/// SHA-256 digest of a bearer token or key, which is stored in place of the token.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TokenDigest(pub [u8; 32]);

impl TokenDigest {
    /// Computes the digest of a token.
    pub fn of(token: &str) -> Self {
        Self(Sha256::digest(token.as_bytes()).into())
    }

    /// Parses 64 hex digits; `None` if the text is anything else.
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
