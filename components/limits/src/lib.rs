//! Admission control: customers' limits, the admission queue of a service, and retry budgets.
//!
//! A request first passes the limits of its customer ([`Customer`], atomics only), then the
//! [`Gate`] of the service, which is one compare-and-swap while a slot is free and no request
//! waits. Otherwise the request goes to the queue's task. The task owns an [`Admission`], a state
//! machine without I/O that implements class priority, fair queueing between customers, and
//! deadlines. Requests take no lock. Callers pass in the time and the random numbers.

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
