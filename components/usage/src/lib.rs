//! How often each customer's requests began to run, by windows of true time, and one report a
//! window that is the same whoever sends it.
//!
//! A window goes through these states:
//!
//! - *open*: fronts note the requests that begin, in a [`Tally`], and append what they noted as
//!   numbered batches, several times a window;
//! - *closed*: its time is over; batches still come, as some requests end later than they began;
//! - *sealed*: some front has appended [`UsageRecord::Sealed`]. The first seal in the log's order
//!   holds, and what stands before it is the report. A batch behind it is lost for the report;
//! - *sent*, as often as it takes, by whoever holds the duty;
//! - *reported*: the receiver took it, and a record says so to the next holder.
//!
//! Nobody sends what is not sealed, so two holders can't send different counts for a window,
//! however late either of them is. A reader that missed records of a window knows only a part
//! of its counts, and leaves the window to others.

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
