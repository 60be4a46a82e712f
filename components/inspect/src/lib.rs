//! Shows operators the contents of the platform's store. It only reads, and needs no running front.
//! Malformed records are logged and skipped, as in a front.

mod read;
mod rows;

pub use read::{InspectError, Inspector};
pub use rows::{
    CustomerRow, DutyRow, KnowledgeRow, LeaseRow, ReplicaRow, RouteRow, ShardRow, StepRow,
    UsageRow, VersionRow,
};
