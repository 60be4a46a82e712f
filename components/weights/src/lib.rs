//! Weight versions: which one is in force, and how each agent brings its own engine
//! there. Events and the time go in, actions come out.

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
