//! What to do about lost connections, late and doubled frames, and failed attempts. Pure
//! state machines: events and the time go in, actions come out. No socket, no clock, no
//! random source.

mod attempt;
mod attempt_event;
mod backoff;
mod event;
mod forgotten;
mod retry;
mod served;
mod shares;
mod silence;
mod table;
mod table_action;

pub use attempt::Attempt;
pub use attempt_event::{AttemptAction, AttemptEvent};
pub use backoff::reconnect_after_ms;
pub use event::CallEvent;
pub use retry::{Delivered, FailedAttempt, Resume, RetryDecision, RetrySettings, decide_retry};
pub use served::part_cost_bytes;
pub use silence::{SilenceAction, SilenceDetector};
pub use table::{CallTable, TableSettings};
pub use table_action::TableAction;
