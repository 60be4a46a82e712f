//! Log lines: logfmt on standard error, written by a thread of their own.
//!
//! A full queue drops lines and never holds up a request: whoever reads standard error
//! may stall for any length of time. Beyond a budget a second lines are left out and counted,
//! but for errors.

use std::time::Instant;

use logforth::append::asynchronous::AsyncBuilder;
use logforth::append::{Stderr, Stdout};
use logforth::filter::FilterResult;
use logforth::layout::LogfmtLayout;
use logforth::record::{FilterCriteria, Level, Record};
use logforth::{Diagnostic, Filter};
use quick_error::quick_error;

use crate::budget::{LineBudget, LineDecision};

/// Lines a second, at most. A front's busiest second on days of heavy load and trouble had
/// 179; a process at the size to design for has some 100 a second, so that ten times that
/// is a fault, and twenty times that still costs below a hundredth of a core.
const LINES_PER_S: u64 = 2_000;

/// Lines that wait for the writing thread at most.
const BUFFERED_LINES_MAX: usize = 8_192;

quick_error! {
    /// Why the log can't be set up.
    #[derive(Debug)]
    pub enum LogsError {
        /// A logger stands already.
        AlreadyStarted(reason: logforth::Error) {
            display("the log cannot be set up: {}", reason)
        }
    }
}

/// Least severe level that is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogLevel {
    /// Faults only.
    Error,
    /// Faults and what may become one.
    Warn,
    /// One line for every request and change of state.
    Info,
    /// Everything.
    Debug,
}

impl LogLevel {
    /// The words that settings allow.
    pub const NAMES: [&'static str; 4] = ["error", "warn", "info", "debug"];

    /// The level with this word.
    pub fn parse(text: &str) -> Option<LogLevel> {
        let levels = [
            LogLevel::Error,
            LogLevel::Warn,
            LogLevel::Info,
            LogLevel::Debug,
        ];
        let at = Self::NAMES.iter().position(|word| *word == text)?;
        levels.get(at).copied()
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

/// Leaves out lines beyond the budget.
#[derive(Debug)]
struct Budgeted {
    budget: LineBudget,
    started: Instant,
}

impl Filter for Budgeted {
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
                // This line passes the filter too; its own count is zero, so it ends there.
                if suppressed > 0 {
                    log::warn!(event = "lines-left-out", lines = suppressed; "");
                }
                FilterResult::Neutral
            }
        }
    }
}

/// Writes out what is buffered when it goes.
pub struct LogGuard(());

impl Drop for LogGuard {
    fn drop(&mut self) {
        log::logger().flush();
    }
}

/// Where lines go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Output {
    /// Standard error.
    Stderr,
    /// Standard output.
    Stdout,
}

/// Sets up the process's log on standard error. Errors when one stands already.
pub fn start_logs(level: LogLevel) -> Result<LogGuard, LogsError> {
    start_logs_to(level, Output::Stderr)
}

/// Sets up the process's log. Errors when one stands already.
pub fn start_logs_to(level: LogLevel, output: Output) -> Result<LogGuard, LogsError> {
    let queue = AsyncBuilder::new("log")
        .buffered_lines_limit(Some(BUFFERED_LINES_MAX))
        .overflow_drop_incoming();
    let queued = match output {
        Output::Stderr => queue.append(Stderr::default().with_layout(LogfmtLayout::default())),
        Output::Stdout => queue.append(Stdout::default().with_layout(LogfmtLayout::default())),
    }
    .build();
    let budgeted = Budgeted {
        budget: LineBudget::new(LINES_PER_S),
        started: Instant::now(),
    };
    logforth::starter_log::builder()
        .dispatch(|dispatch| dispatch.filter(budgeted).append(queued))
        .try_apply()
        .map_err(LogsError::AlreadyStarted)?;
    // The filter stands here and not in the dispatch, so that a line below the level
    // costs its caller one load of an atomic.
    log::set_max_level(level.filter());
    Ok(LogGuard(()))
}
