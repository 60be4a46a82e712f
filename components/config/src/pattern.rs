//! Call patterns: an HTTP method and a path.

use std::fmt;

use derive::value;
use quick_error::quick_error;

quick_error! {
    /// Why a text is not a call pattern.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum PatternError {
        /// The text does not have the form `METHOD /path`.
        Malformed {
            display("write METHOD and path, such as \"POST /sanctions\"")
        }
        /// The method is neither 1 to 16 capital letters nor `*`.
        BadMethod {
            display("the method is 1 to 16 capital letters, or * for all of them")
        }
        /// The path is relative, contains a query, or is not in normal form, so that endpoints
        /// might interpret it differently.
        BadPath {
            display("the path begins with '/' and has no query, no '%', no '//', no '.' or '..' part and no space")
        }
    }
}

/// Maximum length of a method, in bytes.
const METHOD_BYTES_MAX: usize = 16;
/// Matches every method.
const ANY_METHOD: &str = "*";

/// A pattern that matches calls by method and path, without the query.
#[value]
#[derive(Hash, PartialOrd, Ord)]
pub struct CallPattern {
    /// HTTP method in capitals, or `*` for every method.
    pub method: String,
    /// Normalized path without a trailing slash.
    pub path: String,
}

impl CallPattern {
    /// Parses `METHOD /path`.
    pub fn new(text: &str) -> Result<Self, PatternError> {
        let (method, path) = text.split_once(' ').ok_or(PatternError::Malformed)?;
        let is_uppercase = !method.is_empty() && method.bytes().all(|b| b.is_ascii_uppercase());
        let is_short = method.len() <= METHOD_BYTES_MAX;
        if method != ANY_METHOD && !(is_uppercase && is_short) {
            return Err(PatternError::BadMethod);
        }
        let is_absolute = path.starts_with('/') && !path.contains(['%', '?', '#', ' ']);
        let normal = normal_path(path).ok_or(PatternError::BadPath)?;
        let is_normal = normal == path || path.strip_suffix('/') == Some(normal.as_str());
        if !is_absolute || !is_normal {
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

    /// Whether the call has exactly this method and path; case-sensitive.
    pub(crate) fn matches(&self, method: &str, path: &str) -> bool {
        (self.method == ANY_METHOD || self.method == method) && self.path == path
    }

    /// Whether the call has this method and a path equal to the pattern's or below it; ignores
    /// ASCII case.
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
        let ends_segment = path.len() == own.len() || path.get(own.len()) == Some(&b'/');
        ends_segment && start.eq_ignore_ascii_case(own)
    }
}

impl fmt::Display for CallPattern {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.method, self.path)
    }
}

/// Removes the query and the fragment from a path.
pub(crate) fn strip_query(path: &str) -> &str {
    path.split(['?', '#']).next().unwrap_or(path)
}

/// Normalizes a path: decodes percent-escapes of ordinary characters, drops empty and `.` segments
/// and resolves `..`. Returns `None` for a path that endpoints may interpret differently.
pub(crate) fn normal_path(path: &str) -> Option<String> {
    let decoded = percent_decode(path)?;
    let mut segments: Vec<&str> = Vec::new();
    for segment in decoded.split('/') {
        match segment {
            "" | "." => {}
            ".." => {
                segments.pop();
            }
            // Some endpoints strip path parameters after ';' and some do not.
            other if other.contains([';', '\\']) => return None,
            other => segments.push(other),
        }
    }
    Some(format!("/{}", segments.join("/")))
}

/// Decodes percent-escapes. Returns `None` for a malformed escape and for an escaped separator or
/// control character.
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
