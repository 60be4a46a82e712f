use std::fmt;

use sha2::{Digest, Sha256};

/// Length of a mark in bytes: enough to distinguish the keys in the log lines of one process.
const MARK_BYTES: usize = 4;

/// Marks (salted, truncated digests) that replace refused keys in the log lines of one process.
///
/// An operator can see whether two refusals concern the same key. Each process draws its own salt
/// and never writes it, so a mark can't be compared with a list of guessed keys.
#[derive(Clone)]
pub struct KeyMarks {
    salt: [u8; 16],
}

impl KeyMarks {
    /// Creates the marks of a process. The salt must be random and new for each process.
    pub fn new(salt: [u8; 16]) -> Self {
        Self { salt }
    }

    /// The mark of a key, as hex digits.
    pub fn of(&self, key: &str) -> String {
        let mut hash = Sha256::new();
        hash.update(self.salt);
        hash.update(key.as_bytes());
        let digest = hash.finalize();
        let bytes = digest.iter().take(MARK_BYTES);
        bytes.map(|byte| format!("{byte:02x}")).collect()
    }
}

impl fmt::Debug for KeyMarks {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyMarks")
    }
}
