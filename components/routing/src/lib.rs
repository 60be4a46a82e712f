//! Load balancing: the choice of the replica that runs a call.
//!
//! An entry keeps one immutable [`Table`] per service and replaces it when the membership or a
//! load report changes. The counters that requests update are atomics shared by successive
//! tables, so a request takes no lock. Callers pass in the time and the random numbers.

mod choose;
mod counters;
mod ejection;
pub mod hedge;
mod history;
mod latency;
mod prefix;
mod random;
mod replica;
mod score;
mod settings;
mod subset;
mod table;

pub use choose::{Choice, ChoiceError, Requirements, choose_replica};
pub use counters::{Counters, Outstanding, Work};
pub use ejection::Outcome;
pub use latency::Latencies;
pub use prefix::{BlockEvent, BlockTable, PrefixId, PrefixMatch, PrefixMatches, PrefixTracker};
pub use random::SplitMix64;
pub use replica::{Locality, Replica, Report};
pub use settings::{Policy, Settings};
pub use subset::choose_subset;
pub use table::{ReplicaState, Table};
