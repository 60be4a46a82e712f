//! Discrete-event simulation of a fleet of fronts that share one store with limited capacity.
//!
//! The decisions are made by the production code: [`pacing`] decides when a front reads,
//! [`ownership`] whether it may run a shard, [`lease`] which front gives orders. The store, its
//! group, the network and the faults are simple models. The simulation estimates calls, bytes
//! and latencies for fleets that are too large to test on real VMs. Runs with the same seed give
//! the same results.

mod error;
mod fleet;
mod front;
mod group;
mod log;
mod plot;
mod report;
mod rng;
mod settings;
mod store;

pub use error::SimError;
pub use fleet::simulate;
pub use plot::plot;
pub use report::{Propagation, Report, TopicReport};
pub use settings::{Fault, FaultKind, SimSettings, Workload};
