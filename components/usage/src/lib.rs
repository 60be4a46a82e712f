//! Usage reports: the number of each customer's requests that started to run, per time window. The
//! report of a window is identical no matter which front sends it.
//!
//! A window goes through these states:
//!
//! - *open*: fronts count the requests that start, in a [`Tally`], and append the counts as
//!   numbered batches several times per window;
//! - *closed*: the window has ended. Batches still arrive, because some requests end later than
//!   they started;
//! - *sealed*: a front has appended [`UsageRecord::Sealed`]. The first seal in the order of the log
//!   is valid, and the counts before it form the report. A batch after it is missing from the
//!   report;
//! - *sent*: the holder of the lease sends the report, again if necessary;
//! - *reported*: the receiver has accepted the report, and a record tells the next holder.
//!
//! Only reports of sealed windows are sent. Two holders can therefore not send different counts for
//! a window, no matter how late either of them is. A process that missed records of a window knows
//! only some of its counts, and leaves the window to other processes.

mod ledger;
mod record;
mod sender;
mod series;
mod tally;
mod time;
mod window;

pub use ledger::{Change, Report, UsageLedger, WindowSummary};
pub use record::{CustomerCount, UsageRecord, WindowCounts};
pub use sender::{Outcome, Sender};
pub use series::CustomerSeries;
pub use tally::{Batch, Tally};
pub use time::UtcClock;
pub use window::{Window, WindowSettings};
