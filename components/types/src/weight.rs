//! Versions of model weights.

use std::fmt;
use std::str::FromStr;

use derive::wire_key;
use quick_error::quick_error;

quick_error! {
    /// Reason why a text is not a valid weight version.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum VersionError {
        /// The text does not have the form `EPOCH.VERSION`.
        Malformed(text: String) {
            display("'{}' is not a weight version: write EPOCH.VERSION, such as 1.7", text)
        }
    }
}

/// Version of a model's weights. The trainer increments `version`. A rollback by an operator
/// increments `epoch`, so that a version announced before the rollback can never become active
/// again: versions compare by epoch first.
#[wire_key]
#[derive(Default)]
pub struct WeightVersion {
    /// Incremented by each rollback.
    pub epoch: u32,
    /// Incremented by the trainer for each new set of weights.
    pub version: u64,
}

impl WeightVersion {
    /// Number of low bits of the fencing token that hold the version; the epoch is above them.
    const VERSION_BITS: u32 = 40;

    /// Fencing token of an order to an engine for this version; grows with (epoch, version). An
    /// engine that checks fencing tokens refuses an order whose token is lower than one it has seen.
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
