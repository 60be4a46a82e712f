//! Discrete-event simulation of a fleet of fronts before one store with a budget of calls.
//!
//! What decides is the product's own code: [`pacing`] says when a front reads, [`ownership`]
//! whether it may run a shard, [`lease`] who gives orders. The store, its groups, the network and
//! the losses are models of a few lines each. It answers what no machine can be hired for: calls,
//! bytes and times at the next sizes of a fleet. Runs of one seed are the same every time.

mod draws;
mod error;
mod fleet;
mod front;
mod group;
mod log;
mod plot;
mod report;
mod settings;
mod store;

pub use error::SimError;
pub use fleet::simulate;
pub use plot::plot;
pub use report::{Report, Spread, TopicReport};
pub use settings::{Fault, FaultKind, SimSettings, Workload};
