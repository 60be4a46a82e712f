//! A trainer: posts steps, announces weight versions between them, fetches the samples, and checks
//! them against the guarantees of the training API (exactly once, named versions, staleness).
//!
//! Like an asynchronous trainer, it posts steps ahead of the step that it trains on. When a request
//! to an entry fails, it retries at the next entry with the same cursor until the step times out.

mod entries;
mod ledger;
mod messages;
mod report;
mod session;
mod settings;

pub use entries::ExchangeError;
pub use ledger::{Ledger, SampleFault};
pub use messages::{Fetched, Sample};
pub use report::TrainerReport;
pub use session::{TrainerError, run};
pub use settings::TrainerSettings;
