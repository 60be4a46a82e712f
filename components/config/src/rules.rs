//! Versions of the rules that a text is checked against.
//!
//! A record on the log names a rules version, and every process checks the record against that
//! version, even if it knows newer ones. Two binaries of different releases therefore reach the
//! same verdict, or the older one reports that it does not know the rules. A released rules
//! version, including the schema minor that it knows, never changes: a new field or check gets the
//! next number.

use derive::key;

/// The newest rules version that this binary knows.
pub const RULES_NEWEST: u32 = 2;

/// The checks and schema of one rules version.
#[key]
pub struct Rules {
    /// Number that records use to name these rules.
    pub version: u32,
    /// Newest schema minor whose fields these rules know. A text with a higher minor may contain
    /// unknown fields.
    pub schema_minor: u32,
    /// Whether a model covered by a trainer token must state its `staleness_bound`.
    pub(crate) requires_staleness_bound: bool,
    /// Whether a publish with a base above 0 must state the id of the publish that created the
    /// base.
    pub(crate) requires_base_id: bool,
}

impl Rules {
    /// The rules with this number, or `None` if this binary does not know them.
    pub fn of(version: u32) -> Option<Rules> {
        let is_strict = match version {
            1 => false,
            2 => true,
            _ => return None,
        };
        Some(Rules {
            version,
            schema_minor: 0,
            requires_staleness_bound: is_strict,
            requires_base_id: is_strict,
        })
    }

    /// The newest rules that this binary knows.
    pub fn newest() -> Rules {
        Rules {
            version: RULES_NEWEST,
            schema_minor: 0,
            requires_staleness_bound: true,
            requires_base_id: true,
        }
    }
}
