use std::fmt;

use sha2::{Digest, Sha256};

/// Bytes of a mark: enough to tell the keys of one process's log lines apart.
const MARK_BYTES: usize = 4;

/// Marks that stand for refused keys in the log lines of one process.
///
/// An operator sees whether two refusals were of one key. The salt is of this process and is
/// never written, so a mark can't be compared with a list of guessed keys.
#[derive(Clone)]
pub struct KeyMarks {
    salt: [u8; 16],
}

impl KeyMarks {
    /// Marks with this salt, drawn anew for each process.
    pub fn new(salt: [u8; 16]) -> Self {
        Self { salt }
    }

    /// The mark of a key, in hex digits.
    pub fn of(&self, key: &str) -> String {
        let mut hash = Sha256::new();
        hash.update(self.salt);
        hash.update(key.as_bytes());
        let whole = hash.finalize();
        let bytes = whole.iter().take(MARK_BYTES);
        bytes.map(|byte| format!("{byte:02x}")).collect()
    }
}

impl fmt::Debug for KeyMarks {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyMarks")
    }
}
