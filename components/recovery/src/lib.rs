//! Recovery of calls from lost connections, late and duplicate frames, and failed attempts.
//!
//! The state machines do no I/O: they take events and the current time and return actions.
//! They use no socket, no clock and no random source, so tests can run every order of events.

mod attempt;
mod attempt_event;
mod backoff;
mod event;
mod removed_calls;
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
