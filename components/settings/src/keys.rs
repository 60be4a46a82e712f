//! Shared keys with which the system's own processes authenticate each other. They are read from a
//! file and never passed in a flag.
//!
//! Two keys are valid at a time, so that they can be rotated without downtime: first every process
//! gets the new key as its second key, then signs with the new key, and then the old key is
//! removed.

use std::fmt;
use std::path::Path;

use crate::SettingsError;

/// Length of a key. In the file, a key has two hexadecimal digits per byte.
pub const KEY_BYTES: usize = 32;

/// Maximum number of keys that are valid at a time: the current one and one for its rotation.
pub const KEYS_MAX: usize = 2;

const KEY_FILE_FLAG: &str = "key-file";
const HEX_RADIX: u32 = 16;

/// A shared key. Its `Debug` output hides the key.
#[derive(Clone, PartialEq, Eq)]
pub struct SharedKey(pub [u8; KEY_BYTES]);

impl fmt::Debug for SharedKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("SharedKey(hidden)")
    }
}

/// Reads the key file. Returns an error if the file cannot be read or [`parse_keys`] refuses its
/// text.
pub fn read_keys(path: &Path) -> Result<Vec<SharedKey>, SettingsError> {
    let read_error = |reason| SettingsError::FileRead(KEY_FILE_FLAG, path.to_owned(), reason);
    let text = std::fs::read_to_string(path).map_err(read_error)?;
    parse_keys(&text, path)
}

/// Parses the text of a key file with one key per line; the first key signs. Empty lines and lines
/// that begin with `#` are ignored. Returns an error with the line number if a line is not a key,
/// if there are more than [`KEYS_MAX`] keys, or if there is none. `path` is only used in the error.
pub fn parse_keys(text: &str, path: &Path) -> Result<Vec<SharedKey>, SettingsError> {
    let invalid_line = |line: usize| SettingsError::InvalidKey(path.to_owned(), line);
    let mut keys = Vec::new();
    for (index, line) in text.lines().enumerate() {
        let line = line.trim();
        if line.is_empty() || line.starts_with('#') {
            continue;
        }
        let key = parse_key(line).ok_or_else(|| invalid_line(index + 1))?;
        if keys.len() == KEYS_MAX {
            return Err(invalid_line(index + 1));
        }
        keys.push(key);
    }
    if keys.is_empty() {
        return Err(invalid_line(1));
    }
    Ok(keys)
}

fn parse_key(line: &str) -> Option<SharedKey> {
    if line.len() != 2 * KEY_BYTES || !line.is_ascii() {
        return None;
    }
    let mut key = [0; KEY_BYTES];
    for (index, byte) in key.iter_mut().enumerate() {
        let digits = line.get(2 * index..2 * index + 2)?;
        if digits.starts_with('+') {
            return None;
        }
        *byte = u8::from_str_radix(digits, HEX_RADIX).ok()?;
    }
    Some(SharedKey(key))
}
