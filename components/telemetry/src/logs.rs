//! Log lines in logfmt, written to standard error or standard output by a dedicated thread.
//!
//! If the queue to that thread is full, lines are dropped, so that logging never blocks a request
//! even if the reader of the output stalls. Lines beyond a budget per second are suppressed and
//! counted, except errors.

use std::time::Instant;

use logforth::append::asynchronous::AsyncBuilder;
use logforth::append::{Stderr, Stdout};
use logforth::filter::FilterResult;
use logforth::layout::LogfmtLayout;
use logforth::record::{FilterCriteria, Level, Record};
use logforth::{Diagnostic, Filter};
use quick_error::quick_error;

use crate::budget::{LineBudget, LineDecision};

/// Maximum number of lines per second, not counting errors. A process of the design size writes
/// about 100 lines per second, and a front wrote up to 179 in a second under heavy load with
/// failures. Ten times 100 lines indicate a fault, and 20 times 100 lines still cost less than 1 %
/// of a core.
const LINES_PER_S: u64 = 2_000;

/// Maximum number of lines in the queue to the writing thread.
const BUFFERED_LINES_MAX: usize = 8_192;

quick_error! {
    /// Reason why logging could not be started.
    #[derive(Debug)]
    pub enum LogsError {
        /// The process already has a logger.
        AlreadyStarted(reason: logforth::Error) {
            display("cannot start logging: {}", reason)
        }
    }
}

/// Least severe level of the lines that are written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogLevel {
    /// Only failures.
    Error,
    /// Also conditions that may lead to a failure.
    Warn,
    /// Also a line for every request and every change of state.
    Info,
    /// All lines.
    Debug,
}

impl LogLevel {
    /// Names of the levels in settings, most severe first.
    pub const NAMES: [&'static str; 4] = ["error", "warn", "info", "debug"];

    /// The level with this name, or `None` if no level has it.
    pub fn parse(text: &str) -> Option<LogLevel> {
        let levels = [
            LogLevel::Error,
            LogLevel::Warn,
            LogLevel::Info,
            LogLevel::Debug,
        ];
        let index = Self::NAMES.iter().position(|name| *name == text)?;
        levels.get(index).copied()
    }

    fn filter(self) -> log::LevelFilter {
        match self {
            LogLevel::Error => log::LevelFilter::Error,
            LogLevel::Warn => log::LevelFilter::Warn,
            LogLevel::Info => log::LevelFilter::Info,
            LogLevel::Debug => log::LevelFilter::Debug,
        }
    }
}

/// Suppresses lines beyond the budget, except errors.
#[derive(Debug)]
struct BudgetFilter {
    budget: LineBudget,
    started: Instant,
}

impl Filter for BudgetFilter {
    fn enabled(&self, _: &FilterCriteria, _: &[Box<dyn Diagnostic>]) -> FilterResult {
        FilterResult::Neutral
    }

    fn matches(&self, record: &Record, _: &[Box<dyn Diagnostic>]) -> FilterResult {
        if record.level() == Level::Error {
            return FilterResult::Neutral;
        }
        let now_ms = self.started.elapsed().as_millis() as u64;
        match self.budget.try_take(now_ms) {
            LineDecision::Suppress => FilterResult::Reject,
            LineDecision::Write { suppressed } => {
                // The warning passes through this filter again. Its own count of suppressed lines
                // is 0 because it is not the first line of the window, so the recursion ends.
                if suppressed > 0 {
                    log::warn!(event = "lines-left-out", lines = suppressed; "");
                }
                FilterResult::Neutral
            }
        }
    }
}

/// Flushes the buffered lines when dropped.
pub struct LogGuard(());

impl Drop for LogGuard {
    fn drop(&mut self) {
        log::logger().flush();
    }
}

/// Stream to which the lines are written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Output {
    /// Standard error.
    Stderr,
    /// Standard output.
    Stdout,
}

/// Starts logging to standard error. Returns an error if the process already has a logger.
pub fn start_logs(level: LogLevel) -> Result<LogGuard, LogsError> {
    start_logs_to(level, Output::Stderr)
}

/// Starts logging to `output`. Returns an error if the process already has a logger.
pub fn start_logs_to(level: LogLevel, output: Output) -> Result<LogGuard, LogsError> {
    let queue = AsyncBuilder::new("log")
        .buffered_lines_limit(Some(BUFFERED_LINES_MAX))
        .overflow_drop_incoming();
    let queued = match output {
        Output::Stderr => queue.append(Stderr::default().with_layout(LogfmtLayout::default())),
        Output::Stdout => queue.append(Stdout::default().with_layout(LogfmtLayout::default())),
    }
    .build();
    let budget_filter = BudgetFilter {
        budget: LineBudget::new(LINES_PER_S),
        started: Instant::now(),
    };
    logforth::starter_log::builder()
        .dispatch(|dispatch| dispatch.filter(budget_filter).append(queued))
        .try_apply()
        .map_err(LogsError::AlreadyStarted)?;
    // The level is set here and not in the dispatch, so that a line below the level costs its
    // caller only one load of an atomic.
    log::set_max_level(level.filter());
    Ok(LogGuard(()))
}
