//! Identifiers of waiting requests.

use derive::key;

/// Number of a waiting request, assigned in order of arrival; unique per gate.
#[key]
pub struct Ticket(pub u64);
