//! The lease on giving orders, kept as records in the platform's log.
//!
//! Orders of two different holders to one replica must be separated by a configured pause. The
//! order of the log decides who holds the lease: a [`LeaseRecord::Acquire`] is valid only if no
//! other lease record stands between the last one that its writer had read and its own position.
//! An acquisition that arrives seconds late therefore has no effect.
//!
//! A holder writes several renewals per second as heartbeats. A heartbeat alone permits no orders.
//! To give orders, the holder writes a renewal that announces orders. Once it has read the
//! announcement back from the log, it may give orders for a short time, counted from the moment at
//! which it *sent* the announcement. All other processes count from the moment at which they *read*
//! the announcement, and announce orders of their own only after that time and the pause. A holder
//! that is frozen or cut off has therefore stopped before another holder starts. If the silent
//! holder had announced no orders lately, its successor can give orders as soon as the heartbeats
//! time out. All times come from a clock that continues during suspension.
//!
//! The announcements keep orders of two holders apart, not the lease itself. A process announces
//! orders only if it has read no announcement of another holder for that whole time, and an
//! announcement that follows another holder's announcement too closely in the log permits nothing.
//! If the log lost all records, two VMs may both believe that they hold the lease. Even then their
//! orders do not alternate. As soon as one VM reads a renewal of the other, the older holder (the
//! lower fencing token) keeps the lease.

mod record;
mod settings;
mod state;
mod succession;

pub use record::LeaseRecord;
pub use settings::LeaseSettings;
pub use state::Lease;
pub use succession::{is_candidate, is_successor};
