//! Validated names. A name has 1 to 63 characters of `a-z`, `0-9` and `-` and begins with a
//! letter, so that it can appear unescaped in a URL path, a metric and a log line.

use std::fmt;
use std::sync::Arc;

use quick_error::quick_error;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Maximum length of a name.
pub const NAME_BYTES_MAX: usize = 63;

quick_error! {
    /// Reason why a text is not a valid name.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum NameError {
        /// The text is empty.
        Empty {
            display("the name is empty")
        }
        /// The text has more than [`NAME_BYTES_MAX`] bytes; the field is its length.
        TooLong(bytes: usize) {
            display("the name has {} bytes, at most {} are allowed", bytes, NAME_BYTES_MAX)
        }
        /// The character at this position, counted from 0, is not one of `a-z`, `0-9` and `-`, or
        /// the first character is not a letter.
        InvalidCharacter(position: usize) {
            display("character {} of the name is not allowed: use a-z, 0-9 and '-', a letter first", position + 1)
        }
    }
}

fn check(text: &str) -> Result<(), NameError> {
    if text.is_empty() {
        return Err(NameError::Empty);
    }
    if text.len() > NAME_BYTES_MAX {
        return Err(NameError::TooLong(text.len()));
    }
    let is_invalid = |(position, c): (usize, char)| {
        let is_letter = c.is_ascii_lowercase();
        let is_inner = position > 0 && (c.is_ascii_digit() || c == '-');
        !(is_letter || is_inner)
    };
    match text.chars().enumerate().find(|&at| is_invalid(at)) {
        Some((position, _)) => Err(NameError::InvalidCharacter(position)),
        None => Ok(()),
    }
}

macro_rules! names {
    ($($(#[$doc:meta])* $name:ident),* $(,)?) => {$(
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Creates a name from `text`. Returns an error if `text` is not a valid name.
            pub fn new(text: &str) -> Result<Self, NameError> {
                check(text)?;
                Ok(Self(Arc::from(text)))
            }

            /// Returns the name as a string slice.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{:?}", &self.0)
            }
        }

        impl std::str::FromStr for $name {
            type Err = NameError;

            fn from_str(text: &str) -> Result<Self, NameError> {
                Self::new(text)
            }
        }

        impl Serialize for $name {
            fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
                serializer.serialize_str(&self.0)
            }
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
                let text = <std::borrow::Cow<'de, str>>::deserialize(deserializer)?;
                Self::new(&text).map_err(serde::de::Error::custom)
            }
        }
    )*};
}

names! {
    /// Name of a customer, who owns services and tokens.
    CustomerName,
    /// Name of a customer's service: a model or a plain service.
    ServiceName,
    /// Name of a pool of endpoints, set by the `--pool` flag of the agents.
    PoolName,
    /// Name of a failure domain, set by the `--failure-domain` flag of the processes on a VM.
    FailureDomain,
    /// Name of a region: several failure domains that are close to each other.
    Region,
}
