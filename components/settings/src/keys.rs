//! The shared keys of the system's own processes, from a file and never from a flag.
//!
//! Two keys are valid at a time, so that they can be changed without a stop: every
//! process first learns the new key as its second, then signs with it, then forgets the old.

use std::fmt;
use std::path::Path;

use crate::SettingsError;

/// Length of a key.
pub const KEY_BYTES: usize = 32;

/// Keys that are valid at a time.
pub const KEYS_MAX: usize = 2;

const FLAG: &str = "key-file";
const HEX: u32 = 16;

/// A shared key. It is never printed.
#[derive(Clone, PartialEq, Eq)]
pub struct SharedKey(pub [u8; KEY_BYTES]);

impl fmt::Debug for SharedKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("SharedKey(hidden)")
    }
}

/// Reads the key file. Errors when it can't be read or a line is no key.
pub fn read_keys(path: &Path) -> Result<Vec<SharedKey>, SettingsError> {
    let unreadable = |reason| SettingsError::FileRead(FLAG, path.to_owned(), reason);
    let text = std::fs::read_to_string(path).map_err(unreadable)?;
    parse_keys(&text, path)
}

/// The keys in the text of a key file, one a line; the first signs. Empty lines and lines
/// that begin with `#` are left out. Errors name the line.
pub fn parse_keys(text: &str, path: &Path) -> Result<Vec<SharedKey>, SettingsError> {
    let bad_line = |line: usize| SettingsError::InvalidKey(path.to_owned(), line);
    let mut keys = Vec::new();
    for (at, line) in text.lines().enumerate() {
        let line = line.trim();
        if line.is_empty() || line.starts_with('#') {
            continue;
        }
        let key = parse_key(line).ok_or_else(|| bad_line(at + 1))?;
        if keys.len() == KEYS_MAX {
            return Err(bad_line(at + 1));
        }
        keys.push(key);
    }
    if keys.is_empty() {
        return Err(bad_line(1));
    }
    Ok(keys)
}

fn parse_key(line: &str) -> Option<SharedKey> {
    if line.len() != 2 * KEY_BYTES || !line.is_ascii() {
        return None;
    }
    let mut key = [0; KEY_BYTES];
    for (at, byte) in key.iter_mut().enumerate() {
        let digits = line.get(2 * at..2 * at + 2)?;
        if digits.starts_with('+') {
            return None;
        }
        *byte = u8::from_str_radix(digits, HEX).ok()?;
    }
    Some(SharedKey(key))
}
