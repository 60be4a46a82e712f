//! Patterns of calls: a method and a path.

use std::fmt;

use derive::value;
use quick_error::quick_error;

quick_error! {
    /// Why a text is not a pattern of calls.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum PatternError {
        /// Not `METHOD /path`.
        Malformed {
            display("write METHOD and path, such as \"POST /sanctions\"")
        }
        /// The method is not in capitals, nor `*`.
        BadMethod {
            display("the method is 1 to 16 capital letters, or * for all of them")
        }
        /// The path is relative, holds a query, or would be read in two ways.
        BadPath {
            display("the path begins with '/' and has no query, no '%', no '//', no '.' or '..' part and no space")
        }
    }
}

/// Longest method, in bytes.
const METHOD_BYTES_MAX: usize = 16;
/// Stands for every method.
const ANY_METHOD: &str = "*";

/// A method and a path without a query.
#[value]
#[derive(Hash, PartialOrd, Ord)]
pub struct CallPattern {
    /// The method, or `*`.
    pub method: String,
    /// The path, normal and without a slash at its end.
    pub path: String,
}

impl CallPattern {
    /// Reads `METHOD /path`.
    pub fn new(text: &str) -> Result<Self, PatternError> {
        let (method, path) = text.split_once(' ').ok_or(PatternError::Malformed)?;
        let letters = !method.is_empty() && method.bytes().all(|b| b.is_ascii_uppercase());
        let sized = method.len() <= METHOD_BYTES_MAX;
        if method != ANY_METHOD && !(letters && sized) {
            return Err(PatternError::BadMethod);
        }
        let plain = path.starts_with('/') && !path.contains(['%', '?', '#', ' ']);
        let normal = normal_path(path).ok_or(PatternError::BadPath)?;
        let same = normal == path || path.strip_suffix('/') == Some(normal.as_str());
        if !plain || !same {
            return Err(PatternError::BadPath);
        }
        Ok(Self {
            method: method.to_owned(),
            path: normal,
        })
    }

    fn matches_method(&self, method: &str) -> bool {
        self.method == ANY_METHOD || self.method.eq_ignore_ascii_case(method)
    }

    /// Whether the call is exactly this one.
    pub(crate) fn matches(&self, method: &str, path: &str) -> bool {
        (self.method == ANY_METHOD || self.method == method) && self.path == path
    }

    /// Whether the call is this one or one below its path, in capitals or not.
    pub(crate) fn covers(&self, method: &str, path: &str) -> bool {
        if !self.matches_method(method) {
            return false;
        }
        if self.path == "/" {
            return true;
        }
        let (path, own) = (path.as_bytes(), self.path.as_bytes());
        let Some(start) = path.get(..own.len()) else {
            return false;
        };
        let ends = path.len() == own.len() || path.get(own.len()) == Some(&b'/');
        ends && start.eq_ignore_ascii_case(own)
    }
}

impl fmt::Display for CallPattern {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.method, self.path)
    }
}

/// The path without query and fragment.
pub(crate) fn strip_query(path: &str) -> &str {
    path.split(['?', '#']).next().unwrap_or(path)
}

/// The path with escapes of ordinary characters undone, empty and `.` parts dropped and
/// `..` resolved; `None` where endpoints differ in how they read it.
pub(crate) fn normal_path(path: &str) -> Option<String> {
    let decoded = percent_decode(path)?;
    let mut parts: Vec<&str> = Vec::new();
    for part in decoded.split('/') {
        match part {
            "" | "." => {}
            ".." => {
                parts.pop();
            }
            // Some endpoints cut a part at ';' and some do not.
            other if other.contains([';', '\\']) => return None,
            other => parts.push(other),
        }
    }
    Some(format!("/{}", parts.join("/")))
}

/// Undoes escapes; `None` for a bad one and for an escaped separator or control.
fn percent_decode(path: &str) -> Option<String> {
    let mut bytes = Vec::with_capacity(path.len());
    let mut rest = path.bytes();
    while let Some(byte) = rest.next() {
        if byte != b'%' {
            bytes.push(byte);
            continue;
        }
        let high = char::from(rest.next()?).to_digit(16)?;
        let low = char::from(rest.next()?).to_digit(16)?;
        let value = u8::try_from(high * 16 + low).ok()?;
        if value < b' ' || matches!(value, b'/' | b'\\' | b'%' | b'?' | b'#' | b';' | 0x7f) {
            return None;
        }
        bytes.push(value);
    }
    String::from_utf8(bytes).ok()
}
