//! Words that every package of hornbeamrock shares: names, versions, classes and
//! the outcome of a request. No I/O, no clock, no policy.

mod class;
mod id;
mod name;
mod outcome;
pub mod rendezvous;
mod weight;
mod weight_target;

pub use class::{Class, Role};
pub use id::{CallId, Incarnation, NodeId};
pub use name::{CustomerName, FailureDomain, NameError, PoolName, Region, ServiceName};
pub use outcome::{Cause, Failure, RunState};
pub use weight::{VersionError, WeightVersion};
pub use weight_target::WeightTarget;
