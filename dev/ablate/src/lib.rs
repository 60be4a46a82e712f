//! What each mechanism is worth: the program with one switched off against the program as it
//! is, on the same days and seeds, in turns.
//!
//! A mechanism is switched off in a scratch clone by replacing text that must stand exactly
//! once, so a table that has fallen behind the sources fails instead of measuring nothing.
//! The days are played by a bench that the command line names.

mod error;
mod mechanism;
mod play;
mod scratch;
mod stats;

pub use error::AblateError;
pub use mechanism::{Change, Mechanism, read_mechanisms};
pub use play::{Bench, Game, Outcome, Played, play_all};
pub use scratch::Scratch;
pub use stats::{Difference, Verdict, compare};
