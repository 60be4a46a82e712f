//! Immutable snapshot of a service's replicas.
//!
//! A table is rebuilt when the membership changes or load reports arrive, in O(replicas · log
//! replicas). The gateway rebuilds it on a tick, not for each datagram. A replica takes about
//! 1.7 KB of memory, almost all of it the history of its counters.

use std::collections::HashMap;
use std::sync::Arc;

use types::NodeId;

use crate::counters::Counters;
use crate::ejection::{self, EjectionLock};
use crate::prefix::PrefixId;
use crate::replica::{Locality, Replica, Report};
use crate::settings::Settings;

/// A replica and what this entry knows about its load.
#[derive(Debug)]
pub struct ReplicaState {
    /// The replica as described by the membership.
    pub replica: Replica,
    pub(crate) counters: Arc<Counters>,
    /// Penalty for a location in another failure domain or region, in units of load.
    pub(crate) penalty: f64,
    /// Load from other entries.
    pub(crate) others: OthersLoad,
}

impl ReplicaState {
    /// Work that this entry has outstanding on the replica.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }
}

/// Work on a replica that other entries sent: the replica's load report minus the work that this
/// entry had outstanding when the report was taken.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct OthersLoad {
    pub(crate) calls: f64,
    pub(crate) prompt_tokens: f64,
    pub(crate) tokens: f64,
    /// Time at which the report was taken; `None` if the replica has no report and the values are
    /// the mean of the table.
    pub(crate) taken_at_ms: Option<u64>,
}

impl OthersLoad {
    fn from_report(report: &Report, counters: &Counters, settings: &Settings) -> OthersLoad {
        let (calls, prompt_tokens, tokens) = counters.values_at(report.taken_at_ms);
        let reported_calls = report.running.saturating_add(report.waiting);
        let kv_share = f64::from(report.kv_used_permille) / 1_000.0;
        let reported_tokens = kv_share * f64::from(settings.kv_tokens);
        OthersLoad {
            calls: f64::from(reported_calls.saturating_sub(calls)),
            prompt_tokens: f64::from(report.prompt_tokens_queued.saturating_sub(prompt_tokens)),
            tokens: (reported_tokens - f64::from(tokens)).max(0.0),
            taken_at_ms: Some(report.taken_at_ms),
        }
    }

    /// Interpolates between `mean` (weight 0) and `self` (weight 1).
    pub(crate) fn damped(&self, mean: &OthersLoad, weight: f64) -> OthersLoad {
        let damped = |own: f64, mean: f64| mean + weight * (own - mean);
        OthersLoad {
            calls: damped(self.calls, mean.calls),
            prompt_tokens: damped(self.prompt_tokens, mean.prompt_tokens),
            tokens: damped(self.tokens, mean.tokens),
            taken_at_ms: self.taken_at_ms,
        }
    }

    fn mean(all: &[ReplicaState]) -> OthersLoad {
        let known = || {
            all.iter()
                .filter(|state| state.others.taken_at_ms.is_some())
        };
        let count = known().count().max(1) as f64;
        let mean = |of: fn(&OthersLoad) -> f64| {
            known().map(|state| of(&state.others)).sum::<f64>() / count
        };
        OthersLoad {
            calls: mean(|others| others.calls),
            prompt_tokens: mean(|others| others.prompt_tokens),
            tokens: mean(|others| others.tokens),
            taken_at_ms: None,
        }
    }
}

/// Replicas of one service at one time.
#[derive(Debug)]
pub struct Table {
    settings: Arc<Settings>,
    states: Vec<ReplicaState>,
    /// Positions of the replicas in the entry's own failure domain.
    same_domain: Vec<u32>,
    by_prefix: HashMap<PrefixId, u32>,
    /// Mean load from other entries over the replicas that have a report.
    others: OthersLoad,
    /// Estimated share of this entry in all outstanding calls of the service, from 0 to 1.
    own_share: f64,
    ejection_lock: Arc<EjectionLock>,
}

impl Table {
    /// A table without replicas.
    pub fn empty(settings: Arc<Settings>) -> Table {
        Table {
            settings,
            states: Vec::new(),
            same_domain: Vec::new(),
            by_prefix: HashMap::new(),
            others: OthersLoad::default(),
            own_share: 1.0,
            ejection_lock: Arc::default(),
        }
    }

    /// Builds the table that replaces this one. A replica with the same address and incarnation
    /// keeps its counters; a new incarnation starts with new counters.
    pub fn rebuild(&self, replicas: Vec<Replica>, here: &Locality, now_ms: u64) -> Table {
        let known: HashMap<NodeId, &Arc<Counters>> = self
            .states
            .iter()
            .map(|state| (state.replica.node, &state.counters))
            .collect();
        let settings = Arc::clone(&self.settings);
        let mut states: Vec<ReplicaState> = replicas
            .into_iter()
            .map(|replica| {
                let counters = match known.get(&replica.node) {
                    Some(counters) => Arc::clone(counters),
                    None => Arc::new(Counters::new(now_ms)),
                };
                replica_state(replica, counters, here, &settings, now_ms)
            })
            .collect();
        let others = OthersLoad::mean(&states);
        fill_unreported(&mut states, others);
        let table = Table {
            same_domain: positions(&states, |replica| {
                replica.failure_domain == here.failure_domain
            }),
            by_prefix: by_prefix(&states),
            own_share: own_share(&states, &others),
            others,
            settings,
            states,
            ejection_lock: Arc::clone(&self.ejection_lock),
        };
        table.restore_excess_ejected();
        table
    }

    /// Settings of routing for the service.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// The replicas, in the order in which they were passed to [`Table::rebuild`].
    pub fn replica_states(&self) -> &[ReplicaState] {
        &self.states
    }

    /// Number of replicas that are ejected or half-open.
    pub fn ejected_count(&self) -> usize {
        let is_ejected = |state: &&ReplicaState| state.counters.health.is_ejected();
        self.states.iter().filter(is_ejected).count()
    }

    pub(crate) fn others(&self) -> &OthersLoad {
        &self.others
    }

    pub(crate) fn own_share(&self) -> f64 {
        self.own_share
    }

    pub(crate) fn same_domain(&self) -> &[u32] {
        &self.same_domain
    }

    pub(crate) fn position_of_prefix(&self, id: PrefixId) -> Option<usize> {
        self.by_prefix.get(&id).map(|&position| position as usize)
    }

    pub(crate) fn ejection_lock(&self) -> &EjectionLock {
        &self.ejection_lock
    }

    /// Restores ejected replicas if the service has shrunk and more of them are ejected than the
    /// maximum share allows. Replicas whose ejection ends soonest are restored first.
    fn restore_excess_ejected(&self) {
        let excess = self
            .ejected_count()
            .saturating_sub(ejection::ejected_max(self));
        if excess == 0 {
            return;
        }
        let mut ejected: Vec<&ReplicaState> = self
            .states
            .iter()
            .filter(|state| state.counters.health.is_ejected())
            .collect();
        ejected.sort_by_key(|state| state.counters.health.ejected_until_ms());
        for state in ejected.into_iter().take(excess) {
            state.counters.health.restore();
        }
    }
}

fn replica_state(
    replica: Replica,
    counters: Arc<Counters>,
    here: &Locality,
    settings: &Settings,
    now_ms: u64,
) -> ReplicaState {
    counters.record(now_ms);
    let others = match &replica.report {
        Some(report) => OthersLoad::from_report(report, &counters, settings),
        None => OthersLoad::default(),
    };
    ReplicaState {
        penalty: penalty(&replica, here, settings),
        replica,
        counters,
        others,
    }
}

fn penalty(replica: &Replica, here: &Locality, settings: &Settings) -> f64 {
    if replica.failure_domain == here.failure_domain {
        0.0
    } else if replica.region == here.region {
        settings.domain_penalty
    } else {
        settings.region_penalty
    }
}

/// Gives replicas without a load report the mean load of those with one. Without that they would
/// look idle and attract all calls of every entry.
fn fill_unreported(states: &mut [ReplicaState], mean: OthersLoad) {
    for state in states {
        if state.others.taken_at_ms.is_none() {
            state.others = mean;
        }
    }
}

fn own_share(states: &[ReplicaState], others: &OthersLoad) -> f64 {
    let own: f64 = states
        .iter()
        .map(|state| f64::from(state.counters.calls()))
        .sum();
    let own_mean = own / states.len().max(1) as f64;
    match own_mean + others.calls > 0.0 {
        true => own_mean / (own_mean + others.calls),
        false => 1.0,
    }
}

fn positions(states: &[ReplicaState], wanted: impl Fn(&Replica) -> bool) -> Vec<u32> {
    let numbered = (0..).zip(states);
    numbered
        .filter(|(_, state)| wanted(&state.replica))
        .map(|(position, _)| position)
        .collect()
}

fn by_prefix(states: &[ReplicaState]) -> HashMap<PrefixId, u32> {
    let numbered = (0..).zip(states);
    numbered
        .filter_map(|(position, state)| state.replica.prefix_id.map(|id| (id, position)))
        .collect()
}
