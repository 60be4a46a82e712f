//! A schedule of faults that is injected in the same way in every slice.

use std::str::FromStr;
use std::time::Duration;

use derive::{key, value};
use standins::{Fault, FaultKind};
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::error::BenchError;
use crate::fleet::Fleet;

const FAULT_FLAG: &str = "fault";
const ALLOWED_FAULTS: &str = "AT_MS:KIND[:NUMBER[:FOR_MS]], KIND one of agent-kill, agent-stop, \
                       entry-kill, entry-stop, engine-crash, log-outage, log-answer-lost, \
                       store-outage, swap-fails";
const DEFAULT_DURATION_MS: u64 = 2_000;

/// Kind of a scheduled fault.
#[key]
pub enum ScheduledFaultKind {
    /// An agent is killed and restarted when the fault ends.
    AgentKill,
    /// An agent is suspended by SIGSTOP until the fault ends.
    AgentStop,
    /// An entry is killed and restarted when the fault ends.
    EntryKill,
    /// An entry is suspended by SIGSTOP until the fault ends.
    EntryStop,
    /// An engine crashes and starts again when the fault ends.
    EngineCrash,
    /// The log answers every request with status 503.
    LogOutage,
    /// The log appends records, but its answers are lost.
    LogAnswerLost,
    /// The weight store answers every request with status 503.
    StoreOutage,
    /// An engine fails to switch to other weights.
    SwapFails,
}

impl ScheduledFaultKind {
    fn parse(name: &str) -> Option<ScheduledFaultKind> {
        Some(match name {
            "agent-kill" => ScheduledFaultKind::AgentKill,
            "agent-stop" => ScheduledFaultKind::AgentStop,
            "entry-kill" => ScheduledFaultKind::EntryKill,
            "entry-stop" => ScheduledFaultKind::EntryStop,
            "engine-crash" => ScheduledFaultKind::EngineCrash,
            "log-outage" => ScheduledFaultKind::LogOutage,
            "log-answer-lost" => ScheduledFaultKind::LogAnswerLost,
            "store-outage" => ScheduledFaultKind::StoreOutage,
            "swap-fails" => ScheduledFaultKind::SwapFails,
            _ => return None,
        })
    }
}

/// A fault of the schedule.
#[value]
#[derive(Copy)]
pub struct ScheduledFault {
    /// Start of the fault, from the start of the slice.
    pub at_ms: u64,
    /// Process or endpoint that fails, and how.
    pub kind: ScheduledFaultKind,
    /// Index of the process or endpoint that fails, modulo the number of them.
    pub number: usize,
    /// Duration of the fault.
    pub duration_ms: u64,
}

impl FromStr for ScheduledFault {
    type Err = BenchError;

    fn from_str(text: &str) -> Result<ScheduledFault, BenchError> {
        parse_fault(text)
            .ok_or_else(|| BenchError::InvalidFlag(FAULT_FLAG, text.to_owned(), ALLOWED_FAULTS))
    }
}

fn parse_fault(text: &str) -> Option<ScheduledFault> {
    let mut parts = text.split(':');
    let fault = ScheduledFault {
        at_ms: parts.next()?.parse().ok()?,
        kind: ScheduledFaultKind::parse(parts.next()?)?,
        number: parts.next().map_or(Some(0), |part| part.parse().ok())?,
        duration_ms: parts
            .next()
            .map_or(Some(DEFAULT_DURATION_MS), |part| part.parse().ok())?,
    };
    parts.next().is_none().then_some(fault)
}

/// Injects the faults of a schedule. Faults in entries affect the given entries of the slice's
/// variant only.
pub async fn run(
    fleet: &Fleet,
    entries: &[usize],
    schedule: &[ScheduledFault],
) -> Result<(), BenchError> {
    // Faults may overlap, so the start and the end of each fault are events of their own.
    let mut events = JoinSet::new();
    for &fault in schedule {
        let start_ms = fault.at_ms;
        let end_ms = fault.at_ms + fault.duration_ms;
        events.spawn(async move {
            sleep(Duration::from_millis(start_ms)).await;
            (fault, true)
        });
        events.spawn(async move {
            sleep(Duration::from_millis(end_ms)).await;
            (fault, false)
        });
    }
    while let Some(Ok((fault, starts))) = events.join_next().await {
        let entry = entries[fault.number % entries.len()];
        apply(fleet, entry, fault, starts)?;
    }
    Ok(())
}

fn apply(
    fleet: &Fleet,
    entry: usize,
    fault: ScheduledFault,
    starts: bool,
) -> Result<(), BenchError> {
    let agent = &fleet.agents[fault.number % fleet.agents.len()];
    let entry = &fleet.entries[entry];
    let standins = &fleet.standins;
    let engine = &standins.engines[fault.number % standins.engines.len()];
    let standin_fault = |kind| Fault {
        for_ms: Some(fault.duration_ms),
        ..Fault::new(kind)
    };
    match (fault.kind, starts) {
        (ScheduledFaultKind::AgentKill, true) => agent.lock().kill(),
        (ScheduledFaultKind::AgentKill, false) => agent.lock().restart()?,
        (ScheduledFaultKind::AgentStop, true) => agent.lock().signal("STOP")?,
        (ScheduledFaultKind::AgentStop, false) => agent.lock().signal("CONT")?,
        (ScheduledFaultKind::EntryKill, true) => entry.lock().kill(),
        (ScheduledFaultKind::EntryKill, false) => entry.lock().restart()?,
        (ScheduledFaultKind::EntryStop, true) => entry.lock().signal("STOP")?,
        (ScheduledFaultKind::EntryStop, false) => entry.lock().signal("CONT")?,
        (ScheduledFaultKind::EngineCrash, true) => engine.crash(fault.duration_ms),
        (ScheduledFaultKind::LogOutage, true) => {
            standins.log.inject_fault(standin_fault(FaultKind::Outage))
        }
        (ScheduledFaultKind::LogAnswerLost, true) => standins
            .log
            .inject_fault(standin_fault(FaultKind::AnswerLost)),
        (ScheduledFaultKind::StoreOutage, true) => standins
            .store
            .inject_fault(standin_fault(FaultKind::Outage)),
        (ScheduledFaultKind::SwapFails, true) => {
            engine.inject_fault(standin_fault(FaultKind::SwapFails))
        }
        (_, false) => {}
    }
    Ok(())
}
