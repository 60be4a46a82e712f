//! A schedule of faults, the same in every slice.

use std::str::FromStr;
use std::time::Duration;

use derive::{key, value};
use standins::{Fault, FaultKind};
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::error::BenchError;
use crate::fleet::Fleet;

const FLAG: &str = "fault";
const ALLOWED: &str = "AT_MS:KIND[:NUMBER[:FOR_MS]], KIND one of agent-kill, agent-stop, \
                       entry-kill, entry-stop, engine-crash, log-outage, log-answer-lost, \
                       store-outage, swap-fails";
const FOR_MS: u64 = 2_000;

/// What fails.
#[key]
pub enum Kind {
    /// An agent dies and starts again.
    AgentKill,
    /// An agent is frozen and goes on.
    AgentStop,
    /// An entry dies and starts again.
    EntryKill,
    /// An entry is frozen and goes on.
    EntryStop,
    /// An engine crashes and starts again.
    EngineCrash,
    /// The log answers 503.
    LogOutage,
    /// The log appends and its answer is lost.
    LogAnswerLost,
    /// The weight store answers 503.
    StoreOutage,
    /// Switches of an engine fail.
    SwapFails,
}

impl Kind {
    fn parse(word: &str) -> Option<Kind> {
        Some(match word {
            "agent-kill" => Kind::AgentKill,
            "agent-stop" => Kind::AgentStop,
            "entry-kill" => Kind::EntryKill,
            "entry-stop" => Kind::EntryStop,
            "engine-crash" => Kind::EngineCrash,
            "log-outage" => Kind::LogOutage,
            "log-answer-lost" => Kind::LogAnswerLost,
            "store-outage" => Kind::StoreOutage,
            "swap-fails" => Kind::SwapFails,
            _ => return None,
        })
    }
}

/// One fault of the schedule.
#[value]
#[derive(Copy)]
pub struct Planned {
    /// When, from the start of the slice.
    pub at_ms: u64,
    /// What.
    pub kind: Kind,
    /// Which one of the processes or endpoints of that kind.
    pub number: usize,
    /// For how long.
    pub for_ms: u64,
}

impl FromStr for Planned {
    type Err = BenchError;

    fn from_str(text: &str) -> Result<Planned, BenchError> {
        parse(text).ok_or_else(|| BenchError::Flag(FLAG, text.to_owned(), ALLOWED))
    }
}

fn parse(text: &str) -> Option<Planned> {
    let mut parts = text.split(':');
    let planned = Planned {
        at_ms: parts.next()?.parse().ok()?,
        kind: Kind::parse(parts.next()?)?,
        number: parts.next().map_or(Some(0), |part| part.parse().ok())?,
        for_ms: parts
            .next()
            .map_or(Some(FOR_MS), |part| part.parse().ok())?,
    };
    parts.next().is_none().then_some(planned)
}

/// Runs a schedule against the entries of a slice and the rest of the fleet.
pub async fn run(fleet: &Fleet, entries: &[usize], schedule: &[Planned]) -> Result<(), BenchError> {
    // The faults overlap; each is two points of time.
    let mut points = JoinSet::new();
    for &planned in schedule {
        let begin_ms = planned.at_ms;
        let end_ms = planned.at_ms + planned.for_ms;
        points.spawn(async move {
            sleep(Duration::from_millis(begin_ms)).await;
            (planned, true)
        });
        points.spawn(async move {
            sleep(Duration::from_millis(end_ms)).await;
            (planned, false)
        });
    }
    while let Some(Ok((planned, begins))) = points.join_next().await {
        let entry = entries[planned.number % entries.len()];
        apply(fleet, entry, planned, begins)?;
    }
    Ok(())
}

fn apply(fleet: &Fleet, entry: usize, planned: Planned, begins: bool) -> Result<(), BenchError> {
    let agent = &fleet.agents[planned.number % fleet.agents.len()];
    let entry = &fleet.entries[entry];
    let standins = &fleet.standins;
    let engine = &standins.engines[planned.number % standins.engines.len()];
    let lasting = |kind| Fault {
        for_ms: Some(planned.for_ms),
        ..Fault::new(kind)
    };
    match (planned.kind, begins) {
        (Kind::AgentKill, true) => agent.process().kill(),
        (Kind::AgentKill, false) => agent.process().restart()?,
        (Kind::AgentStop, true) => agent.process().signal("STOP")?,
        (Kind::AgentStop, false) => agent.process().signal("CONT")?,
        (Kind::EntryKill, true) => entry.process().kill(),
        (Kind::EntryKill, false) => entry.process().restart()?,
        (Kind::EntryStop, true) => entry.process().signal("STOP")?,
        (Kind::EntryStop, false) => entry.process().signal("CONT")?,
        (Kind::EngineCrash, true) => engine.crash(planned.for_ms),
        (Kind::LogOutage, true) => standins.log.inject_fault(lasting(FaultKind::Outage)),
        (Kind::LogAnswerLost, true) => standins.log.inject_fault(lasting(FaultKind::AnswerLost)),
        (Kind::StoreOutage, true) => standins.store.inject_fault(lasting(FaultKind::Outage)),
        (Kind::SwapFails, true) => engine.inject_fault(lasting(FaultKind::SwapFails)),
        (_, false) => {}
    }
    Ok(())
}
