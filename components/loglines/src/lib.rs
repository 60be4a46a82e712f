//! Analysis of the log lines of many fronts. The package does no I/O: it takes lines and returns
//! rows for printing. Lines that are not events of a front are ignored.

mod line;
mod spread;

pub use line::{LogLine, parse_line};
pub use spread::{ChangeKind, ChangeRow, PropagationTimes};
