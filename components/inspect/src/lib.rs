//! What stands in the platform's store, for operators: read-only, and without a front.
//! Decides nothing; records that can't be read are named and passed over, as at a front.

mod read;
mod rows;

pub use read::{InspectError, Inspector};
pub use rows::{
    CustomerRow, DutyRow, LeaseRow, ReplicaRow, RouteRow, ShardRow, StepRow, UsageRow, VersionRow,
};
