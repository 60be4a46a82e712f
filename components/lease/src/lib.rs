//! The lease on giving orders, as records in the platform's log.
//!
//! The log's order decides: a [`LeaseRecord::Take`] holds only if no other record of the
//! lease came between what its writer had read and its own place, so that a take that lands
//! seconds late takes nothing from anybody. A holder counts its time from the moment at
//! which it sent a renewal that it later read back; everybody else counts from the moment at
//! which they read it. Both use a clock that counts suspension. The former time is shorter
//! than the latter by the pause that must lie between orders of two holders, so a holder
//! that was frozen or cut off has stopped before another one begins.

mod record;
mod settings;
mod state;

pub use record::LeaseRecord;
pub use settings::LeaseSettings;
pub use state::Lease;
