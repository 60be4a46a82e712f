//! Counts the held steps and prompt bytes of each customer. Customers do not trust one
//! another, and without a limit a single customer could fill the entry's memory with posts.

use std::collections::HashMap;

use derive::value;
use types::CustomerName;

use crate::step::Step;

/// Limits on the steps that an entry holds for one customer.
#[value]
pub struct StepBounds {
    /// Maximum number of steps.
    pub steps_max: u32,
    /// Maximum total size of the prompts of these steps.
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

/// Number of held steps and size of their prompts, by customer.
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

    /// Whether the step fits into its customer's limits, together with the steps held already.
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
