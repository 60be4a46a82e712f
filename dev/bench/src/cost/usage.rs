//! Use of processor and memory by members of a fleet over a while.

use std::time::{Duration, Instant};

use crate::error::BenchError;
use crate::fleet::Member;
use crate::proc;

/// Where the processes stood.
pub(super) struct Mark {
    at: Instant,
    cpu: Duration,
    members: usize,
}

/// What one process used on average.
#[derive(Clone, Copy, Debug)]
pub(super) struct Usage {
    /// Processor time in a second, in thousandths of a core.
    pub(super) cpu_permille: f64,
    /// Memory of its own, in MiB.
    pub(super) memory_mib: f64,
}

pub(super) fn mark(members: &[Member]) -> Result<Mark, BenchError> {
    Ok(Mark {
        at: Instant::now(),
        cpu: cpu(members)?,
        members: members.len(),
    })
}

impl Mark {
    /// Processor time of all since then.
    pub(super) fn cpu_since(&self, members: &[Member]) -> Result<Duration, BenchError> {
        Ok(cpu(members)?.saturating_sub(self.cpu))
    }

    /// Means since then.
    pub(super) fn usage(&self, members: &[Member]) -> Result<Usage, BenchError> {
        let used_s = self.cpu_since(members)?.as_secs_f64();
        let process_s = self.at.elapsed().as_secs_f64() * self.members as f64;
        let mut bytes = 0;
        for member in members {
            bytes += proc::memory(member.process().id())?;
        }
        Ok(Usage {
            cpu_permille: used_s / process_s * 1_000.0,
            memory_mib: bytes as f64 / self.members as f64 / f64::from(1 << 20),
        })
    }
}

fn cpu(members: &[Member]) -> Result<Duration, BenchError> {
    let mut sum = Duration::ZERO;
    for member in members {
        sum += proc::cpu(member.process().id())?;
    }
    Ok(sum)
}
