//! Immutable snapshot of a service's replicas.
//!
//! Building costs O(replicas · log replicas) and happens when membership changes or
//! reports come in; the gateway does it on a tick, not for each datagram. A replica
//! costs about 1.7 KB, nearly all of it the history of its counters.

use std::collections::HashMap;
use std::sync::Arc;

use types::NodeId;

use crate::counters::Counters;
use crate::ejection::{self, Ejections};
use crate::prefix::PrefixId;
use crate::replica::{Locality, Replica, Report};
use crate::settings::Settings;

/// One replica of a table.
#[derive(Debug)]
pub struct Slot {
    /// What membership says of it.
    pub replica: Replica,
    pub(crate) counters: Arc<Counters>,
    /// Load that its place costs.
    pub(crate) penalty: f64,
    /// What others than this entry have there.
    pub(crate) others: Others,
}

impl Slot {
    /// What this entry has outstanding there.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }
}

/// Work on a replica that other entries sent: its report less what this entry had
/// outstanding when the report was taken.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Others {
    pub(crate) calls: f64,
    pub(crate) prompt_tokens: f64,
    pub(crate) tokens: f64,
    /// When the report was taken; `None` if the figures are the mean of the table.
    pub(crate) taken_at_ms: Option<u64>,
}

impl Others {
    fn of(report: &Report, counters: &Counters, settings: &Settings) -> Others {
        let (calls, prompt_tokens, tokens) = counters.before(report.taken_at_ms);
        let reported_calls = report.running.saturating_add(report.waiting);
        let kv_share = f64::from(report.kv_used_permille) / 1_000.0;
        let reported_tokens = kv_share * f64::from(settings.kv_tokens);
        Others {
            calls: f64::from(reported_calls.saturating_sub(calls)),
            prompt_tokens: f64::from(report.prompt_tokens_queued.saturating_sub(prompt_tokens)),
            tokens: (reported_tokens - f64::from(tokens)).max(0.0),
            taken_at_ms: Some(report.taken_at_ms),
        }
    }

    /// `self` with its distance from `mean` at `weight`.
    pub(crate) fn damped(&self, mean: &Others, weight: f64) -> Others {
        let damped = |own: f64, mean: f64| mean + weight * (own - mean);
        Others {
            calls: damped(self.calls, mean.calls),
            prompt_tokens: damped(self.prompt_tokens, mean.prompt_tokens),
            tokens: damped(self.tokens, mean.tokens),
            taken_at_ms: self.taken_at_ms,
        }
    }

    fn mean(all: &[Slot]) -> Others {
        let known = || all.iter().filter(|slot| slot.others.taken_at_ms.is_some());
        let count = known().count().max(1) as f64;
        let mean =
            |of: fn(&Others) -> f64| known().map(|slot| of(&slot.others)).sum::<f64>() / count;
        Others {
            calls: mean(|others| others.calls),
            prompt_tokens: mean(|others| others.prompt_tokens),
            tokens: mean(|others| others.tokens),
            taken_at_ms: None,
        }
    }
}

/// Replicas of one service.
#[derive(Debug)]
pub struct Table {
    settings: Arc<Settings>,
    slots: Vec<Slot>,
    /// Positions of the replicas in the entry's own failure domain.
    near: Vec<u32>,
    by_prefix: HashMap<PrefixId, u32>,
    /// What others have on the mean replica.
    others: Others,
    /// Share of the outstanding calls that is this entry's own, from 0 to 1.
    own_share: f64,
    ejections: Arc<Ejections>,
}

impl Table {
    /// A table of no replicas.
    pub fn empty(settings: Arc<Settings>) -> Table {
        Table {
            settings,
            slots: Vec::new(),
            near: Vec::new(),
            by_prefix: HashMap::new(),
            others: Others::default(),
            own_share: 1.0,
            ejections: Arc::default(),
        }
    }

    /// The next table. Counters of replicas that the present one holds by the same
    /// address and incarnation live on; another incarnation begins anew.
    pub fn next(&self, replicas: Vec<Replica>, here: &Locality, now_ms: u64) -> Table {
        let known: HashMap<NodeId, &Arc<Counters>> = self
            .slots
            .iter()
            .map(|slot| (slot.replica.node, &slot.counters))
            .collect();
        let settings = Arc::clone(&self.settings);
        let mut slots: Vec<Slot> = replicas
            .into_iter()
            .map(|replica| {
                let counters = match known.get(&replica.node) {
                    Some(counters) => Arc::clone(counters),
                    None => Arc::new(Counters::new(now_ms)),
                };
                slot(replica, counters, here, &settings, now_ms)
            })
            .collect();
        let others = Others::mean(&slots);
        fill_unreported(&mut slots, others);
        let table = Table {
            near: positions(&slots, |replica| {
                replica.failure_domain == here.failure_domain
            }),
            by_prefix: by_prefix(&slots),
            own_share: own_share(&slots, &others),
            others,
            settings,
            slots,
            ejections: Arc::clone(&self.ejections),
        };
        table.restore_over_floor();
        table
    }

    /// Its settings.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Its replicas, in the order given.
    pub fn slots(&self) -> &[Slot] {
        &self.slots
    }

    /// How many replicas are ejected or half open.
    pub fn ejected(&self) -> usize {
        let is_ejected = |slot: &&Slot| slot.counters.health.is_ejected();
        self.slots.iter().filter(is_ejected).count()
    }

    pub(crate) fn others(&self) -> &Others {
        &self.others
    }

    pub(crate) fn own_share(&self) -> f64 {
        self.own_share
    }

    pub(crate) fn near(&self) -> &[u32] {
        &self.near
    }

    pub(crate) fn at_prefix(&self, id: PrefixId) -> Option<usize> {
        self.by_prefix.get(&id).map(|&position| position as usize)
    }

    pub(crate) fn ejections(&self) -> &Ejections {
        &self.ejections
    }

    /// Restores the replicas that would be ejected beyond the floor of a service that
    /// has shrunk; those nearest to their probe first.
    fn restore_over_floor(&self) {
        let over = self.ejected().saturating_sub(ejection::ejected_max(self));
        if over == 0 {
            return;
        }
        let mut ejected: Vec<&Slot> = self
            .slots
            .iter()
            .filter(|slot| slot.counters.health.is_ejected())
            .collect();
        ejected.sort_by_key(|slot| slot.counters.health.ejected_until_ms());
        for slot in ejected.into_iter().take(over) {
            slot.counters.health.restore();
        }
    }
}

fn slot(
    replica: Replica,
    counters: Arc<Counters>,
    here: &Locality,
    settings: &Settings,
    now_ms: u64,
) -> Slot {
    counters.note(now_ms);
    let others = match &replica.report {
        Some(report) => Others::of(report, &counters, settings),
        None => Others::default(),
    };
    Slot {
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

/// A replica with no report would look idle and draw every call of every entry; it
/// counts as the mean of the others instead.
fn fill_unreported(slots: &mut [Slot], mean: Others) {
    for slot in slots {
        if slot.others.taken_at_ms.is_none() {
            slot.others = mean;
        }
    }
}

fn own_share(slots: &[Slot], others: &Others) -> f64 {
    let own: f64 = slots
        .iter()
        .map(|slot| f64::from(slot.counters.calls()))
        .sum();
    let own_mean = own / slots.len().max(1) as f64;
    match own_mean + others.calls > 0.0 {
        true => own_mean / (own_mean + others.calls),
        false => 1.0,
    }
}

fn positions(slots: &[Slot], wanted: impl Fn(&Replica) -> bool) -> Vec<u32> {
    let numbered = (0..).zip(slots);
    numbered
        .filter(|(_, slot)| wanted(&slot.replica))
        .map(|(position, _)| position)
        .collect()
}

fn by_prefix(slots: &[Slot]) -> HashMap<PrefixId, u32> {
    let numbered = (0..).zip(slots);
    numbered
        .filter_map(|(position, slot)| slot.replica.prefix_id.map(|id| (id, position)))
        .collect()
}
