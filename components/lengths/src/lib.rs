//! Estimates how many events a text still takes, from its length hint and the events so far.
//!
//! Hints are right in the median and wrong by up to a factor of ten; lengths have a long tail that
//! is cut at a maximum. The model is a table of hazards: for each class of hints and each class of
//! lengths, how many texts reached the class and how many ended in it. A text that was dropped
//! before its end counts only for the classes that it reached, so it does not shorten the
//! estimate. Classes with few texts borrow from those of neighbouring hints, then from all texts
//! by their length relative to the hint, then from a log-normal distribution around the hint.
//!
//! The crate does no I/O and reads no clock.

mod classes;
mod counts;
mod hazards;
mod longest;
mod model;
mod prior;
mod snapshot;
mod table;

pub use model::{EventsLeft, LengthModel};
pub use snapshot::{LengthSnapshot, RowSnapshot};
