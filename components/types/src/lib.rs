//! Types that all packages of hornbeamrock share: names, weight versions, request classes and
//! outcomes of requests. The package does no I/O, reads no clock and contains no policy.

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
