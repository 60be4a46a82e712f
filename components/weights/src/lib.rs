//! Weight versions: which one is in force, and how each agent brings its own engine
//! there. Events and the time go in, actions come out.

mod authority;
mod backoff;
mod order;
mod reconcile;
mod settings;
mod status;
mod turn;

pub use authority::{AnnounceError, Announcement, Announcer, Authority, ModelKey};
pub use backoff::Backoff;
pub use order::{EngineState, Order, OrderId, OrderKind, OrderOutcome};
pub use reconcile::{Reconcile, Turns};
pub use settings::ReconcileSettings;
pub use status::Status;
pub use turn::{store_rate_needed_bytes_per_s, turn_ms};
pub use types::WeightTarget as Target;
