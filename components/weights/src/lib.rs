//! Weight versions of models: which version is active, and how each agent moves its own engine
//! to that version. The state machines do no I/O: they take events and the current time and
//! return orders.

mod authority;
mod backoff;
mod order;
mod preload;
mod reconcile;
mod settings;
mod status;

pub use authority::{AnnounceError, AnnounceOutcome, Announcer, Authority, ModelKey};
pub use backoff::Backoff;
pub use order::{EngineState, Order, OrderId, OrderKind, OrderOutcome};
pub use preload::{preload_delay_ms, store_rate_needed_bytes_per_s};
pub use reconcile::{LoadDelays, Reconciler};
pub use settings::ReconcileSettings;
pub use status::Status;
pub use types::WeightTarget as Target;
