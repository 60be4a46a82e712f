//! Processor time and memory that processes of a fleet use during an interval.

use std::time::{Duration, Instant};

use crate::error::BenchError;
use crate::fleet::FleetProcess;
use crate::proc;

/// Start of a measured interval: the time, and the processor time used until then.
pub(super) struct IntervalStart {
    at: Instant,
    cpu: Duration,
    processes: usize,
}

/// Mean use of one process.
#[derive(Clone, Copy, Debug)]
pub(super) struct Usage {
    /// Processor time per second, in thousandths of a core.
    pub(super) cpu_permille: f64,
    /// Resident anonymous memory at the end of the interval, in MiB.
    pub(super) memory_mib: f64,
}

/// Starts an interval for these processes.
pub(super) fn start_interval(processes: &[FleetProcess]) -> Result<IntervalStart, BenchError> {
    Ok(IntervalStart {
        at: Instant::now(),
        cpu: total_cpu_time(processes)?,
        processes: processes.len(),
    })
}

impl IntervalStart {
    /// Processor time of all processes together since the start.
    pub(super) fn cpu_since(&self, processes: &[FleetProcess]) -> Result<Duration, BenchError> {
        Ok(total_cpu_time(processes)?.saturating_sub(self.cpu))
    }

    /// Mean use per process since the start.
    pub(super) fn usage(&self, processes: &[FleetProcess]) -> Result<Usage, BenchError> {
        let used_s = self.cpu_since(processes)?.as_secs_f64();
        let process_s = self.at.elapsed().as_secs_f64() * self.processes as f64;
        let mut bytes = 0;
        for process in processes {
            bytes += proc::anonymous_bytes(process.lock().id())?;
        }
        Ok(Usage {
            cpu_permille: used_s / process_s * 1_000.0,
            memory_mib: bytes as f64 / self.processes as f64 / f64::from(1 << 20),
        })
    }
}

fn total_cpu_time(processes: &[FleetProcess]) -> Result<Duration, BenchError> {
    let mut sum = Duration::ZERO;
    for process in processes {
        sum += proc::cpu_time(process.lock().id())?;
    }
    Ok(sum)
}
