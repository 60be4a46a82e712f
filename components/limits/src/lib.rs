//! Who may send work now: customers' limits, the order of admission, retry budgets.
//!
//! A request passes, in this order, its customer's limits ([`Customer`], atomics only),
//! then the service's [`Gate`]: one compare-and-swap while there is room and nobody
//! waits. Only where there is no room does it go to the queue's task, which owns the
//! pure [`Admission`]: class priority, a fair queue between customers, deadlines. The
//! path of a request takes no lock; time and random numbers are passed in.

mod admission;
mod admitted_totals;
mod bucket;
mod budget;
mod customer;
mod demand;
mod fair;
mod gate;
mod offered;
mod queue_task;
mod retry_after;
mod settings;
mod share;
mod shares;
mod ticket;

pub use admission::{Action, Admission, Arrival, Capacity};
pub use bucket::TokenBucket;
pub use budget::{BudgetSettings, RetryBudget};
pub use customer::{Customer, CustomerLimits, InProgress};
pub use demand::demand;
pub use gate::{Clock, Gate, Permit, Request};
pub use offered::{OfferedByClass, OfferedLoad};
pub use retry_after::retry_after_ms;
pub use settings::AdmissionSettings;
pub use share::{CustomerShare, ShareSettings};
pub use shares::{DIGEST_BYTES_MAX, DIGEST_BYTES_PER_S_MAX, Shares, round_interval_ms};
pub use ticket::Ticket;
