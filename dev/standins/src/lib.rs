//! Small stand-ins of the systems outside hornbeamrock, for tests and demonstrations.
//! Never shipped.
//!
//! Each has `start(settings)`, which serves on its own tasks until the returned
//! [`Handle`] is dropped. Faults are switched over HTTP (`POST /standin/fault`) or
//! through the handle.

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
