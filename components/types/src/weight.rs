//! Versions of model weights.

use std::fmt;
use std::str::FromStr;

use derive::wire_key;
use quick_error::quick_error;

quick_error! {
    /// Why a text is not a weight version.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum VersionError {
        /// Not of the form `EPOCH.VERSION`.
        Malformed(text: String) {
            display("'{}' is not a weight version: write EPOCH.VERSION, such as 1.7", text)
        }
    }
}

/// Version of a model's weights. The trainer counts `version`; an operator's roll-back
/// raises `epoch`, so that nothing announced before it can come back.
#[wire_key]
#[derive(Default)]
pub struct WeightVersion {
    /// Raised by each roll-back.
    pub epoch: u32,
    /// Raised by the trainer with each new set of weights.
    pub version: u64,
}

impl WeightVersion {
    /// Bits of the fencing number that hold the version.
    const VERSION_BITS: u32 = 40;

    /// The fencing number for orders to engines: grows with (epoch, version).
    pub fn fencing_number(self) -> u64 {
        let version = self.version & ((1 << Self::VERSION_BITS) - 1);
        (u64::from(self.epoch) << Self::VERSION_BITS) | version
    }
}

impl fmt::Display for WeightVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.epoch, self.version)
    }
}

impl FromStr for WeightVersion {
    type Err = VersionError;

    fn from_str(text: &str) -> Result<Self, VersionError> {
        let malformed = || VersionError::Malformed(text.to_owned());
        let (epoch, version) = text.split_once('.').ok_or_else(malformed)?;
        Ok(Self {
            epoch: epoch.parse().map_err(|_| malformed())?,
            version: version.parse().map_err(|_| malformed())?,
        })
    }
}
