//! Expected lengths of answers, by which a request is refused before it runs while its answer would
//! not fit into the memory that is left.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};

use crate::state::lock;

/// Part of an expected length by which a shorter answer lowers it at most.
const DECAY_DIVISOR: u64 = 8;

/// Lengths of the recent long answers of each route, in bytes.
#[derive(Debug, Default)]
pub struct AnswerLengths {
    by_route: Mutex<HashMap<Arc<str>, u64>>,
}

impl AnswerLengths {
    /// Records the length of an answer.
    pub fn record(&self, route: &Arc<str>, bytes: u64) {
        let mut lengths = lock(&self.by_route);
        match lengths.get_mut(route) {
            Some(expected) => *expected = bytes.max(*expected - *expected / DECAY_DIVISOR),
            None => drop(lengths.insert(Arc::clone(route), bytes)),
        }
    }

    /// Expected length of the route's next answer; 0 before the first.
    pub fn expected(&self, route: &str) -> u64 {
        lock(&self.by_route).get(route).copied().unwrap_or(0)
    }
}
