//! Names of waiting requests.

use derive::key;

/// Number of a waiting request, given by the queue's owner in the order of arrival.
#[key]
pub struct Ticket(pub u64);
