//! A trainer: posts steps, announces weights between them, fetches the samples and holds
//! them against what every trainer is promised.
//!
//! It posts a step ahead of the one that it trains on, as an asynchronous trainer does.
//! When an exchange with an entry fails it goes on with the next entry, with the same
//! cursor, until the step's time is over.

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
