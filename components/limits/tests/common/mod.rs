//! Names and a model of one service in memory for the tests.
#![allow(dead_code, clippy::unwrap_used)]

use types::CustomerName;

#[path = "../../examples/model/queue.rs"]
pub mod queue;

#[path = "../../examples/model/draws.rs"]
mod draws;

pub use draws::Draws;

pub fn customer(name: &str) -> CustomerName {
    CustomerName::new(name).unwrap()
}
