//! Records of the log's stream `config`.

use derive::wire;
use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use types::CustomerName;

use crate::limit::{RECORD_BYTES_MAX, TEXT_BYTES_MAX};
use crate::{AcceptedVersion, RULES_NEWEST};

/// Longest id of a publish, in bytes.
pub const ID_BYTES_MAX: usize = 64;

quick_error! {
    /// Why a record cannot be read or written.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum RecordError {
        /// Over the limit.
        TooLarge(bytes: usize) {
            display("the record has {} bytes, at most {} are allowed", bytes, RECORD_BYTES_MAX)
        }
        /// Not the JSON of a record.
        Malformed(message: String) {
            display("not a record: {}", message)
        }
    }
}

/// An operator's new text for a customer.
#[wire]
pub struct Publish {
    /// The customer.
    pub customer: CustomerName,
    /// Version that the operator had before him, 0 for none.
    pub base: u64,
    /// Id of the publish that made the base. It keeps a copy of a refused publish
    /// from fitting a later base with the same number.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub base_id: Option<String>,
    /// Chosen by the operator's tool; a repeated append carries the same.
    pub id: String,
    /// Rules version by which every reader judges it.
    pub rules: u32,
    /// The text.
    pub text: String,
}

impl Publish {
    /// A publish on what is accepted now, judged by this binary's newest rules.
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

/// A current version, appended again before the log forgets it.
#[wire]
pub struct Keep {
    /// The customer.
    pub customer: CustomerName,
    /// The version, from 1.
    pub version: u64,
    /// Id of the publish that made it.
    pub id: String,
    /// Rules version by which it was judged.
    pub rules: u32,
    /// Its text.
    pub text: String,
    /// Offset up to which (not with which) the version was the current one; `None`
    /// where the writer only knew that the version was accepted once.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub through: Option<u64>,
}

/// All customers that have an accepted version; the others have none.
#[wire]
pub struct Customers {
    /// Offset up to which (not with which) this held.
    pub through: u64,
    /// The customers.
    pub names: Vec<CustomerName>,
}

/// One record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum Record {
    /// An operator's new text.
    Publish(Publish),
    /// A current version again.
    Keep(Keep),
    /// Who has an accepted version.
    Customers(Customers),
    /// Of a kind that this binary does not know; it changes nothing here.
    #[serde(other)]
    Unknown,
}

impl Record {
    /// Reads a record from the log's bytes.
    pub fn from_json(data: &str) -> Result<Self, RecordError> {
        if data.len() > RECORD_BYTES_MAX {
            return Err(RecordError::TooLarge(data.len()));
        }
        serde_json::from_str(data).map_err(|error| RecordError::Malformed(error.to_string()))
    }

    /// The record for the log; refused where no reader would read it.
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
