//! Versions of the rules by which a text is judged.
//!
//! A record on the log names its rules version, and every process judges the record by
//! that version, whatever else it knows. So two binaries of different ages reach the
//! same verdict, or the older one says that it cannot judge. A published version of
//! the rules, with the schema minor that it knows, is never changed: a new field or
//! check gets the next number.

use derive::key;

/// The newest rules version that this binary knows.
pub const RULES_NEWEST: u32 = 2;

/// One version of the rules.
#[key]
pub struct Rules {
    /// Its number.
    pub version: u32,
    /// Schema minor whose fields these rules know; a text with a higher one may hold
    /// fields that they do not know.
    pub schema_minor: u32,
    /// A model that a trainer token names must state its `staleness_bound`.
    pub(crate) requires_staleness_bound: bool,
    /// A publish on a version above 0 must name the id of that version's publish.
    pub(crate) requires_base_id: bool,
}

impl Rules {
    /// The rules with this number, if this binary knows them.
    pub fn of(version: u32) -> Option<Rules> {
        let stricter = match version {
            1 => false,
            2 => true,
            _ => return None,
        };
        Some(Rules {
            version,
            schema_minor: 0,
            requires_staleness_bound: stricter,
            requires_base_id: stricter,
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
