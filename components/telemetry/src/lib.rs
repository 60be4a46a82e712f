//! What a process tells its operators: one logfmt line an event, counters and
//! histograms by customer and class.

mod budget;
mod logs;
mod metrics;
mod table;

pub use budget::{LineBudget, LineDecision};
pub use logs::{LogGuard, LogLevel, LogsError, Output, start_logs, start_logs_to};
pub use metrics::{Label, Metrics, MetricsError, MetricsSettings};
pub use table::{Row, SERIES_MAX};
