//! The lease on giving orders, as records in the platform's log.
//!
//! Two holders' orders to one replica must lie a stated pause apart. The log's order decides
//! who holds: a [`LeaseRecord::Acquire`] holds only if no other record of the lease came between
//! what its writer had read and its own place, so that a take that lands seconds late takes
//! nothing from anybody.
//!
//! A holder says that it lives several times a second, and that alone allows it no order. To
//! give orders it writes a renewal that announces them, and may give them for a short time,
//! counted from the moment at which it *sent* the announcement that it later read back.
//! Everybody else counts from the moment at which they *read* it, and takes the lease only
//! when that time and the pause have passed. So a holder that is frozen or cut off has
//! stopped before another one begins, and one that fell silent while it ordered nothing is
//! replaced within moments. Both sides use a clock that counts suspension.
//!
//! Who holds is not what keeps orders apart: the announcements do. Whoever announces has read
//! no other holder's announcement for the pause, and an announcement that has one of another
//! holder right before it in the log allows nothing. So where the log lost every record and
//! two VMs believe that they hold the lease, they still don't order in turns; and as soon as
//! one hears the other, the older holder keeps the lease.

mod record;
mod settings;
mod state;
mod succession;

pub use record::LeaseRecord;
pub use settings::LeaseSettings;
pub use state::Lease;
pub use succession::{is_candidate, is_successor};
