//! Keys shared by the processes of the system.
//!
//! A process accepts two keys at a time, so that a key can be rotated process by process:
//! first every process accepts the new key, then every process signs with it, then the old key
//! is removed. On the wire a key is identified by a short digest that does not reveal it.

use std::fmt;

use sha2::{Digest, Sha256};

/// Length of a shared key in bytes.
pub const KEY_BYTES: usize = 32;
/// Length in bytes of the id that identifies a key on the wire.
pub const KEY_ID_BYTES: usize = 4;

/// Prefix of the key in the digest that yields its id. It separates this use of the key from
/// others.
const KEY_ID_LABEL: &[u8] = b"hornbeamrock key id";

/// Id of a key: the first bytes of a SHA-256 digest of the key.
pub type KeyId = [u8; KEY_ID_BYTES];

/// A shared key. Its `Debug` form shows only the id.
#[derive(Clone, PartialEq, Eq)]
pub struct Key {
    secret: [u8; KEY_BYTES],
    id: KeyId,
}

impl Key {
    /// Wraps the secret and computes its id.
    pub fn new(secret: [u8; KEY_BYTES]) -> Self {
        let digest = Sha256::new()
            .chain_update(KEY_ID_LABEL)
            .chain_update(secret)
            .finalize();
        let mut id = [0; KEY_ID_BYTES];
        id.copy_from_slice(&digest[..KEY_ID_BYTES]);
        Self { secret, id }
    }

    /// The id that identifies the key on the wire.
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

/// The keys that a process accepts. It signs with the first one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Keys {
    accepted: Vec<Key>,
}

impl Keys {
    /// Signs with `key` and accepts no other key.
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

    /// The key with which this process signs.
    pub fn signing(&self) -> &Key {
        &self.accepted[0]
    }

    /// Returns the accepted key with this id, or `None` if no accepted key has it.
    pub fn find(&self, id: KeyId) -> Option<&Key> {
        self.accepted.iter().find(|key| key.id == id)
    }
}
