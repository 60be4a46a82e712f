//! What the kernel says of a process.

use std::path::PathBuf;
use std::time::Duration;

use crate::error::BenchError;

/// Ticks of a processor clock in a second, fixed on Linux.
const TICKS_PER_S: u64 = 100;
const KIB: u64 = 1_024;
/// Fields after the name in `/proc/PID/stat`: user and system time.
const USER_TIME: usize = 11;
const SYSTEM_TIME: usize = 12;

/// Processor time that a process has used.
pub fn cpu(id: u32) -> Result<Duration, BenchError> {
    let stat = std::fs::read_to_string(path(id, "stat"))?;
    Ok(cpu_in(&stat))
}

/// Processor time in the text of `/proc/PID/stat`; the name may hold blanks.
pub fn cpu_in(stat: &str) -> Duration {
    let after_name = stat.rsplit_once(')').map_or("", |(_, rest)| rest);
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    let ticks = |field: usize| -> u64 {
        let text = fields.get(field).copied().unwrap_or_default();
        text.parse().unwrap_or(0)
    };
    let ticks = ticks(USER_TIME) + ticks(SYSTEM_TIME);
    Duration::from_millis(ticks * 1_000 / TICKS_PER_S)
}

/// Memory of its own that a process has in use, in bytes: resident and in no file.
pub fn memory(id: u32) -> Result<u64, BenchError> {
    let status = std::fs::read_to_string(path(id, "status"))?;
    Ok(memory_in(&status))
}

/// The same in the text of `/proc/PID/status`.
pub fn memory_in(status: &str) -> u64 {
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("RssAnon:"));
    let kib = line.and_then(|line| line.split_whitespace().next());
    kib.and_then(|kib| kib.parse::<u64>().ok()).unwrap_or(0) * KIB
}

fn path(id: u32, file: &str) -> PathBuf {
    PathBuf::from(format!("/proc/{id}/{file}"))
}
