//! Stand-ins for the systems outside hornbeamrock (model engines, log, weight store, VM list,
//! scorers, services, trainers), for tests and demonstrations. They are never released.
//!
//! Most servers have a function `start(settings)`, which serves on tasks of its own until the
//! returned [`Handle`] is dropped. Faults are injected over HTTP (`POST /standin/fault`) or with
//! [`Handle::inject_fault`].

pub mod engine;
mod error;
mod fault;
pub mod fleet;
mod handle;
mod http;
pub mod log;
mod rate;
mod reply;
pub mod scorer;
pub mod service;
pub mod site;
pub mod store;
pub mod trainer;
pub mod vms;

pub use error::StandinError;
pub use fault::{Fault, FaultKind};
pub use handle::Handle;
