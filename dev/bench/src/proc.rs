//! Processor time and memory of a process, from the kernel's `/proc` files.

use std::path::PathBuf;
use std::time::Duration;

use crate::error::BenchError;

/// Clock ticks per second (`USER_HZ`), fixed at 100 on Linux.
const TICKS_PER_S: u64 = 100;
const KIB: u64 = 1_024;
/// Positions of user and system time among the fields after the name in `/proc/PID/stat`.
const USER_TIME_FIELD: usize = 11;
const SYSTEM_TIME_FIELD: usize = 12;

/// User and system time that a process has used since its start.
pub fn cpu_time(id: u32) -> Result<Duration, BenchError> {
    let stat = std::fs::read_to_string(path(id, "stat"))?;
    Ok(parse_cpu_time(&stat))
}

/// Parses the processor time in `/proc/PID/stat`. The process name may contain blanks and
/// parentheses, so the fields are counted from the last closing parenthesis.
pub fn parse_cpu_time(stat: &str) -> Duration {
    let after_name = stat.rsplit_once(')').map_or("", |(_, rest)| rest);
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    let ticks = |field: usize| -> u64 {
        let text = fields.get(field).copied().unwrap_or_default();
        text.parse().unwrap_or(0)
    };
    let ticks = ticks(USER_TIME_FIELD) + ticks(SYSTEM_TIME_FIELD);
    Duration::from_millis(ticks * 1_000 / TICKS_PER_S)
}

/// Resident anonymous memory of a process in bytes (`RssAnon`); file-backed pages are not counted.
pub fn anonymous_bytes(id: u32) -> Result<u64, BenchError> {
    let status = std::fs::read_to_string(path(id, "status"))?;
    Ok(parse_anonymous_bytes(&status))
}

/// Parses `RssAnon` in `/proc/PID/status`, in bytes; 0 if the line is missing.
pub fn parse_anonymous_bytes(status: &str) -> u64 {
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("RssAnon:"));
    let kib = line.and_then(|line| line.split_whitespace().next());
    kib.and_then(|kib| kib.parse::<u64>().ok()).unwrap_or(0) * KIB
}

fn path(id: u32, file: &str) -> PathBuf {
    PathBuf::from(format!("/proc/{id}/{file}"))
}
