//! Shared keys of the system's own processes.
//!
//! Two keys are valid at a time so that a key can be changed process by process: first
//! every process accepts the new one, then every process signs with it, then the old one
//! goes. A key is named on the wire by a short id, which is a digest and tells nothing.

use std::fmt;

use quick_error::quick_error;
use sha2::{Digest, Sha256};

/// Bytes of a shared key.
pub const KEY_BYTES: usize = 32;
/// Bytes of the short id that names a key on the wire.
pub const KEY_ID_BYTES: usize = 4;
/// Most keys that are valid at a time.
pub const KEYS_MAX: usize = 2;

/// Goes before the key into the digest that is its id.
const KEY_ID_LABEL: &[u8] = b"hornbeamrock key id";

quick_error! {
    /// Why a text holds no usable keys.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum KeyError {
        /// A line that is not 64 hexadecimal digits.
        Malformed(line: usize) {
            display("line {} of the key file is not 64 hexadecimal digits", line)
        }
        /// No key, or more than [`KEYS_MAX`].
        Count(found: usize) {
            display("the key file holds {} keys, 1 to {} are allowed", found, KEYS_MAX)
        }
    }
}

/// Short id of a key.
pub type KeyId = [u8; KEY_ID_BYTES];

/// A shared key. Its `Debug` form shows the id only.
#[derive(Clone, PartialEq, Eq)]
pub struct Key {
    secret: [u8; KEY_BYTES],
    id: KeyId,
}

impl Key {
    /// The key with these bytes.
    pub fn new(secret: [u8; KEY_BYTES]) -> Self {
        let digest = Sha256::new()
            .chain_update(KEY_ID_LABEL)
            .chain_update(secret)
            .finalize();
        let mut id = [0; KEY_ID_BYTES];
        id.copy_from_slice(&digest[..KEY_ID_BYTES]);
        Self { secret, id }
    }

    /// Short id of the key.
    pub fn id(&self) -> KeyId {
        self.id
    }

    pub(crate) fn secret(&self) -> &[u8; KEY_BYTES] {
        &self.secret
    }
}

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Key({:08x})", u32::from_be_bytes(self.id))
    }
}

/// The keys that a process accepts; the first signs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Keys {
    accepted: Vec<Key>,
}

impl Keys {
    /// One key only.
    pub fn one(key: Key) -> Self {
        Self {
            accepted: vec![key],
        }
    }

    /// Signs with `first` and accepts `second` as well.
    pub fn two(first: Key, second: Key) -> Self {
        Self {
            accepted: vec![first, second],
        }
    }

    /// Reads the text of a key file: one key a line, 64 hexadecimal digits each; empty
    /// lines and lines that begin with `#` are left out.
    pub fn parse(text: &str) -> Result<Self, KeyError> {
        let mut accepted = Vec::new();
        for (index, line) in text.lines().enumerate() {
            let line = line.trim();
            if line.is_empty() || line.starts_with('#') {
                continue;
            }
            let secret = parse_hex(line).ok_or(KeyError::Malformed(index + 1))?;
            accepted.push(Key::new(secret));
        }
        if accepted.is_empty() || accepted.len() > KEYS_MAX {
            return Err(KeyError::Count(accepted.len()));
        }
        Ok(Self { accepted })
    }

    /// The key that signs.
    pub fn signing(&self) -> &Key {
        &self.accepted[0]
    }

    /// The accepted key with this id.
    pub fn find(&self, id: KeyId) -> Option<&Key> {
        self.accepted.iter().find(|key| key.id == id)
    }
}

fn parse_hex(line: &str) -> Option<[u8; KEY_BYTES]> {
    if line.len() != 2 * KEY_BYTES || !line.is_ascii() {
        return None;
    }
    let mut secret = [0; KEY_BYTES];
    for (index, byte) in secret.iter_mut().enumerate() {
        let digits = &line[2 * index..2 * index + 2];
        *byte = u8::from_str_radix(digits, 16).ok()?;
    }
    Some(secret)
}
