//! Checked names. A name is 1 to 63 characters of `a-z`, `0-9` and `-`, and begins
//! with a letter, so that it can stand in a URL path, a metric and a log line as it is.

use std::fmt;
use std::sync::Arc;

use quick_error::quick_error;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Longest name, in bytes.
pub const NAME_BYTES_MAX: usize = 63;

quick_error! {
    /// Why a text is not a name.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum NameError {
        /// No character at all.
        Empty {
            display("the name is empty")
        }
        /// Longer than [`NAME_BYTES_MAX`].
        TooLong(bytes: usize) {
            display("the name has {} bytes, at most {} are allowed", bytes, NAME_BYTES_MAX)
        }
        /// A character outside `a-z`, `0-9`, `-`, or a first one that is no letter.
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
    let allowed = |(position, c): (usize, char)| {
        let letter = c.is_ascii_lowercase();
        let inner = position > 0 && (c.is_ascii_digit() || c == '-');
        !(letter || inner)
    };
    match text.chars().enumerate().find(|&at| allowed(at)) {
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
            /// Checks `text` and stores it; the error says what is wrong with it.
            pub fn new(text: &str) -> Result<Self, NameError> {
                check(text)?;
                Ok(Self(Arc::from(text)))
            }

            /// The name as text.
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
    /// A customer of the system; owns services and tokens.
    CustomerName,
    /// A service of one customer: a model or a plain service.
    ServiceName,
    /// A pool of endpoints, as in an agent's settings.
    PoolName,
    /// A failure domain, as in a VM's settings.
    FailureDomain,
    /// A region: several failure domains near one another.
    Region,
}
