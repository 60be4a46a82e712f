//! JSON records of the log's stream `config`.

use derive::wire;
use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use types::CustomerName;

use crate::limit::{RECORD_BYTES_MAX, TEXT_BYTES_MAX};
use crate::{AcceptedVersion, RULES_NEWEST};

/// Maximum length of a publish id, in bytes.
pub const ID_BYTES_MAX: usize = 64;

quick_error! {
    /// Why a record could not be decoded or encoded.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum RecordError {
        /// The record or its text exceeds the size limit.
        TooLarge(bytes: usize) {
            display("the record has {} bytes, at most {} are allowed", bytes, RECORD_BYTES_MAX)
        }
        /// The data is not valid JSON of a record; holds the error of the JSON parser.
        Malformed(message: String) {
            display("not a record: {}", message)
        }
    }
}

/// A new text for a customer, published by an operator.
#[wire]
pub struct Publish {
    /// Customer that the text belongs to.
    pub customer: CustomerName,
    /// Version that the text is based on; 0 if the customer had none.
    pub base: u64,
    /// Id of the publish that created the base. It keeps a copy of a refused publish from matching
    /// a later base with the same number.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub base_id: Option<String>,
    /// Id of this publish, chosen by the operator's tool. A repeated append uses the same id, so
    /// that it counts once.
    pub id: String,
    /// Version of the rules that every reader checks the text against.
    pub rules: u32,
    /// The TOML text.
    pub text: String,
}

impl Publish {
    /// Creates a publish based on the accepted version `base`, to be checked against the newest
    /// rules of this binary.
    pub fn based_on(
        customer: CustomerName,
        base: Option<&AcceptedVersion>,
        id: &str,
        text: &str,
    ) -> Self {
        Self {
            customer,
            base: base.map_or(0, |accepted| accepted.version),
            base_id: base.map(|accepted| accepted.id.clone()),
            id: id.to_owned(),
            rules: RULES_NEWEST,
            text: text.to_owned(),
        }
    }
}

/// A current version, appended again before the log's retention removes its last record.
#[wire]
pub struct Keep {
    /// Customer that the text belongs to.
    pub customer: CustomerName,
    /// Version number; starts at 1.
    pub version: u64,
    /// Id of the publish that created the version.
    pub id: String,
    /// Version of the rules that the text was checked against.
    pub rules: u32,
    /// The TOML text.
    pub text: String,
    /// The version was current for all offsets below this one. `None` if the writer only knew that
    /// the version was accepted at some time.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub through: Option<u64>,
}

/// List of all customers that have an accepted version.
#[wire]
pub struct Customers {
    /// The list was complete for all offsets below this one.
    pub through: u64,
    /// Names of the customers.
    pub names: Vec<CustomerName>,
}

/// A record of the stream `config`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum Record {
    /// A new text for a customer.
    Publish(Publish),
    /// A current version, appended again.
    Keep(Keep),
    /// The list of customers with an accepted version.
    Customers(Customers),
    /// A record of a kind that this binary does not know; it has no effect.
    #[serde(other)]
    Unknown,
}

impl Record {
    /// Decodes a record from its JSON text on the log.
    pub fn from_json(data: &str) -> Result<Self, RecordError> {
        if data.len() > RECORD_BYTES_MAX {
            return Err(RecordError::TooLarge(data.len()));
        }
        serde_json::from_str(data).map_err(|error| RecordError::Malformed(error.to_string()))
    }

    /// Encodes the record for the log. Fails if the record is larger than readers accept.
    pub fn to_json(&self) -> Result<String, RecordError> {
        if let Some(bytes) = self.text_bytes().filter(|&bytes| bytes > TEXT_BYTES_MAX) {
            return Err(RecordError::TooLarge(bytes));
        }
        let json = serde_json::to_string(self)
            .map_err(|error| RecordError::Malformed(error.to_string()))?;
        if json.len() > RECORD_BYTES_MAX {
            return Err(RecordError::TooLarge(json.len()));
        }
        Ok(json)
    }

    fn text_bytes(&self) -> Option<usize> {
        match self {
            Record::Publish(publish) => Some(publish.text.len()),
            Record::Keep(keep) => Some(keep.text.len()),
            Record::Customers(_) | Record::Unknown => None,
        }
    }
}
