//! How much of the held steps belongs to each customer. Customers don't trust one another,
//! and one that posts steps without end would else fill the entry's memory.

use std::collections::HashMap;

use derive::value;
use types::CustomerName;

use crate::step::Step;

/// What the entry holds of one customer at most.
#[value]
pub struct StepBounds {
    /// Steps.
    pub steps_max: u32,
    /// Their prompts together, in bytes.
    pub prompt_bytes_max: usize,
}

impl Default for StepBounds {
    fn default() -> Self {
        Self {
            steps_max: 64,
            prompt_bytes_max: 64 << 20,
        }
    }
}

#[derive(Default)]
struct Holding {
    steps: u32,
    prompt_bytes: usize,
}

/// Steps and prompts held, by customer.
#[derive(Default)]
pub(crate) struct Holdings {
    bounds: StepBounds,
    held: HashMap<CustomerName, Holding>,
}

impl Holdings {
    pub fn new(bounds: StepBounds) -> Self {
        Self {
            bounds,
            held: HashMap::new(),
        }
    }

    pub fn bounds(&self) -> &StepBounds {
        &self.bounds
    }

    /// Whether the step fits beside what its customer has here.
    pub fn has_room(&self, step: &Step) -> bool {
        let held = self.held.get(&step.key.customer);
        let (steps, bytes) = held.map_or((0, 0), |held| (held.steps, held.prompt_bytes));
        let bytes = bytes.saturating_add(step.prompt_bytes());
        steps < self.bounds.steps_max && bytes <= self.bounds.prompt_bytes_max
    }

    pub fn add(&mut self, step: &Step) {
        let held = self.held.entry(step.key.customer.clone()).or_default();
        held.steps += 1;
        held.prompt_bytes += step.prompt_bytes();
    }

    pub fn remove(&mut self, step: &Step) {
        let Some(held) = self.held.get_mut(&step.key.customer) else {
            return;
        };
        held.steps = held.steps.saturating_sub(1);
        held.prompt_bytes = held.prompt_bytes.saturating_sub(step.prompt_bytes());
        if held.steps == 0 {
            self.held.remove(&step.key.customer);
        }
    }
}
