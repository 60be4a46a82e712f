//! Helpers of the tests and a simulation of one service.
#![allow(dead_code, clippy::unwrap_used)]

use types::CustomerName;

#[path = "../../examples/model/queue.rs"]
pub mod queue;

#[path = "../../examples/model/split_mix64.rs"]
mod split_mix64;

pub use split_mix64::SplitMix64;

pub fn customer(name: &str) -> CustomerName {
    CustomerName::new(name).unwrap()
}
