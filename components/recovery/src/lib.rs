//! What to do about lost connections, late and doubled frames, and failed attempts. Pure
//! state machines: events and the time go in, actions come out. No socket, no clock, no
//! random source.

mod attempt;
mod backoff;
mod event;
mod forgotten;
mod retry;
mod served;
mod shares;
mod silence;
mod table;

pub use attempt::{Attempt, AttemptAction, AttemptEvent};
pub use backoff::reconnect_after_ms;
pub use event::CallEvent;
pub use retry::{Decision, Flowed, Resume, RetrySettings, Tried, decide};
pub use served::part_cost_bytes;
pub use silence::{Silence, Watch};
pub use table::{CallTable, TableAction, TableSettings};
