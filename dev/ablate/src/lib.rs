//! Ablation: measures the effect of each mechanism by comparing the unchanged sources with
//! sources in which the mechanism is switched off, on the same bench days and seeds.
//!
//! A mechanism is switched off in a scratch clone by replacing text that must occur exactly
//! once in its file, so that a table that no longer matches the sources causes an error instead
//! of comparing two equal programs. The bench program is named on the command line.

mod bench;
mod error;
mod mechanism;
mod scratch;
mod stats;

pub use bench::{Bench, BenchRun, Outcome, Outcomes, run_all};
pub use error::AblateError;
pub use mechanism::{Change, Mechanism, read_mechanisms};
pub use scratch::ScratchClone;
pub use stats::{Difference, Verdict, compare};
