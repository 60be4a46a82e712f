//! Selects the slots to run next and the replicas that run them.
//!
//! Slots start in the order of their groups, so that the groups that started first are
//! complete first and a slot that is run again precedes groups that have not started. Each
//! run goes to the replica with the most free runs, which spreads a group and keeps one
//! slow replica from delaying every group; among equals the newest version wins. A replica
//! whose version would exceed the staleness bound gets no runs. Hedges and resumes of
//! stragglers use the capacity that pending slots leave.

use std::net::SocketAddr;

use super::Ledger;
use super::state::{Action, PartialSample, Phase, Replica, Run, RunCapacity, RunId, Start, mix};
use crate::sample::staleness;
use crate::straggler::{Decision, HedgeBudget, RunView, assess};

/// Interval at which runs in progress are checked for stragglers.
const RECHECK_INTERVAL_MS: u64 = 500;

impl Ledger {
    /// Starts the pending slots that are due, retries failed score requests, and hedges or
    /// stops stragglers.
    pub fn dispatch(&mut self, room: &RunCapacity, now_ms: u64) {
        // The trainer was offered the whole step; slots that are missing only here, at a second
        // home that did not receive every copy, need no run.
        if self.offered_all {
            return;
        }
        self.retry_scores(now_ms);
        let mut replicas = self.usable_replicas(room);
        let mut run_budget = room.in_progress_max.saturating_sub(self.runs.len() as u32);
        let ready = |position: &u32| now_ms >= self.slots[*position as usize].not_before_ms;
        let ready: Vec<u32> = self.pending.iter().copied().filter(ready).collect();
        for position in ready {
            if run_budget == 0 {
                break;
            }
            let avoid = self.slots[position as usize].avoid_replica;
            let Some(to) = reserve_replica(&mut replicas, avoid, true) else {
                break;
            };
            self.start(position, to, now_ms);
            run_budget -= 1;
        }
        self.handle_stragglers(&mut replicas, run_budget, now_ms);
    }

    /// When to call `dispatch` again after a call at `now_ms`, if no event arrives before;
    /// `None` if there is nothing to run. A slot that is due but found no free replica waits
    /// for the next periodic check, which avoids a busy loop.
    pub fn next_due_ms(&self, now_ms: u64) -> Option<u64> {
        if self.offered_all {
            return None;
        }
        let waits = self.pending.iter().map(|&position| {
            let ready_ms = self.slots[position as usize].not_before_ms;
            if ready_ms > now_ms {
                ready_ms
            } else {
                now_ms + RECHECK_INTERVAL_MS
            }
        });
        let recheck = (!self.runs.is_empty()).then_some(now_ms + RECHECK_INTERVAL_MS);
        let due = [waits.min(), self.score_due_ms(), recheck];
        due.into_iter().flatten().min().map(|ms| ms.max(now_ms))
    }

    /// Number of runs in progress.
    pub fn running(&self) -> u32 {
        self.runs.len() as u32
    }

    /// Number of slots that wait for a run.
    pub fn waiting(&self) -> u32 {
        self.pending.len() as u32
    }

    fn usable_replicas(&self, room: &RunCapacity) -> Vec<Replica> {
        let is_fresh = |replica: &&Replica| {
            let Some(version) = replica.version else {
                return true;
            };
            let lag = staleness(&[version].into(), self.newest_version);
            lag.is_some_and(|lag| lag <= self.settings.staleness_bound)
        };
        room.replicas.iter().filter(is_fresh).cloned().collect()
    }

    fn start(&mut self, position: u32, to: SocketAddr, now_ms: u64) {
        self.pending.remove(&position);
        let resume = self.fresh_partial(position);
        self.tally.resumes += u64::from(resume.is_some());
        self.slot_mut(position).phase = Phase::Running;
        self.launch(position, to, resume, false, now_ms);
    }

    fn launch(
        &mut self,
        position: u32,
        to: SocketAddr,
        resume: Option<PartialSample>,
        hedge: bool,
        now_ms: u64,
    ) {
        let Some(slot) = self.step.slot(position) else {
            return;
        };
        let run = RunId(self.next_run);
        self.next_run += 1;
        self.tally.runs += 1;
        let versions = resume.as_ref().and_then(|p| p.provenance.versions());
        let state = Run {
            position,
            to,
            hedge,
            resumed: resume.is_some(),
            started_ms: now_ms,
            last_token_ms: now_ms,
            tokens: 0,
            versions: versions.cloned().unwrap_or_default(),
            is_stopping: false,
        };
        self.runs.insert(run, state);
        self.slot_mut(position).runs.push(run);
        let seed = self.seed(position);
        self.actions.push(Action::Start(Start {
            run,
            slot,
            to,
            seed,
            resume,
            hedge,
        }));
    }

    /// The partial sample that the slot can resume from. One that exceeds the staleness bound
    /// is discarded.
    fn fresh_partial(&mut self, position: u32) -> Option<PartialSample> {
        let partial = self.slots[position as usize].partial.clone()?;
        let lag = staleness(partial.provenance.versions()?, self.newest_version);
        let is_fresh = lag.is_some_and(|lag| lag <= self.settings.staleness_bound);
        if !is_fresh {
            self.tally.abandoned += 1;
            let slot = self.slot_mut(position);
            slot.attempt += 1;
            slot.partial = None;
        }
        is_fresh.then_some(partial)
    }

    fn seed(&self, position: u32) -> u64 {
        let digest = self.step.digest();
        let words = digest.0.chunks(8).map(|word| {
            word.iter()
                .fold(0, |number, &byte| number << 8 | u64::from(byte))
        });
        let step = words.fold(0, |seed, word| mix(seed ^ word));
        let attempt = self.slots[position as usize].attempt;
        mix(step ^ (u64::from(position) << 32 | u64::from(attempt)))
    }

    fn handle_stragglers(&mut self, replicas: &mut [Replica], mut run_budget: u32, now_ms: u64) {
        let mut budget = HedgeBudget {
            hedges: self.runs.values().filter(|run| run.hedge).count() as u64,
            slots: u64::from(self.step.total()),
        };
        let ids: Vec<RunId> = self.runs.keys().copied().collect();
        for id in ids {
            let Some((position, from, decision)) = self.straggler_decision(id, &budget, now_ms)
            else {
                continue;
            };
            match decision {
                Decision::Wait => {}
                // Without another replica, a stop would only lose the run.
                Decision::Resume if replicas.iter().any(|r| r.address != from) => self.stop(id),
                Decision::Resume => {}
                Decision::Hedge if run_budget == 0 => {}
                Decision::Hedge => {
                    let Some(to) = reserve_replica(replicas, Some(from), false) else {
                        continue;
                    };
                    run_budget -= 1;
                    budget.hedges += 1;
                    self.tally.hedges += 1;
                    let resume = self.fresh_partial(position);
                    self.launch(position, to, resume, true, now_ms);
                }
            }
        }
    }

    fn straggler_decision(
        &self,
        id: RunId,
        budget: &HedgeBudget,
        now_ms: u64,
    ) -> Option<(u32, SocketAddr, Decision)> {
        let run = self.runs.get(&id).filter(|run| !run.is_stopping)?;
        let slot = &self.slots[run.position as usize];
        let view = RunView {
            elapsed_ms: now_ms.saturating_sub(run.started_ms),
            silent_ms: now_ms.saturating_sub(run.last_token_ms),
            tokens: run.tokens,
            moves: slot.moves,
            hedged: slot.runs.len() > 1,
        };
        let decision = assess(&self.settings.straggler, &view, &self.run_timings, budget);
        Some((run.position, run.to, decision))
    }
}

/// Reserves a run at the replica with the most free runs. The replica `avoid` is chosen only
/// if `may_use_avoided` is set and no other replica has a free run.
fn reserve_replica(
    replicas: &mut [Replica],
    avoid: Option<SocketAddr>,
    may_use_avoided: bool,
) -> Option<SocketAddr> {
    let other = |replica: &Replica| Some(replica.address) != avoid;
    let best = |allows: &dyn Fn(&Replica) -> bool| {
        let with_room =
            (0..replicas.len()).filter(|&at| replicas[at].free_runs > 0 && allows(&replicas[at]));
        with_room.max_by_key(|&at| {
            (
                replicas[at].free_runs,
                replicas[at].version,
                replicas[at].address,
            )
        })
    };
    let at = best(&other).or_else(|| best(&|_| may_use_avoided))?;
    replicas[at].free_runs -= 1;
    Some(replicas[at].address)
}
