//! What the logs of many fronts say together. Decides nothing and reads no file: lines in, rows
//! out. A line that is no event of a front is passed over.

mod line;
mod spread;

pub use line::{LogLine, parse_line};
pub use spread::{ChangeKind, ChangeRow, PropagationTimes};
