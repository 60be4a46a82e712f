//! Shared keys of the system's own processes.
//!
//! Two keys are valid at a time so that a key can be changed process by process: first
//! every process accepts the new one, then every process signs with it, then the old one
//! goes. A key is named on the wire by a short id, which is a digest and tells nothing.

use std::fmt;

use sha2::{Digest, Sha256};

/// Bytes of a shared key.
pub const KEY_BYTES: usize = 32;
/// Bytes of the short id that names a key on the wire.
pub const KEY_ID_BYTES: usize = 4;

/// Goes before the key into the digest that is its id.
const KEY_ID_LABEL: &[u8] = b"hornbeamrock key id";

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

    /// The key that signs.
    pub fn signing(&self) -> &Key {
        &self.accepted[0]
    }

    /// The accepted key with this id.
    pub fn find(&self, id: KeyId) -> Option<&Key> {
        self.accepted.iter().find(|key| key.id == id)
    }
}
