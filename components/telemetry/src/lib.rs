//! Logs and metrics of a process: one logfmt line per event, and counters, gauges and histograms by
//! customer and request class.

mod budget;
mod logs;
mod metrics;
mod table;

pub use budget::{LineBudget, LineDecision};
pub use logs::{LogGuard, LogLevel, LogsError, Output, start_logs, start_logs_to};
pub use metrics::{Label, Metrics, MetricsError, MetricsSettings};
pub use table::{Row, SERIES_MAX};
