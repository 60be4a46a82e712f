//! Computes the plan of loads as a pure function of the fleet's state.

use std::cmp::Reverse;

use derive::value;

/// Number of replicas that a model uses, in hundredths of its share. A replica that serves two
/// models loads weights for both, and all loads share one source. At twice the share, a fleet of 38
/// replicas with three models is loading almost all the time. At the plain share, too few replicas
/// have usable weights when a step begins.
const SHARE_HUNDREDTHS: u64 = 200;

/// Fewest replicas that a model uses, however little work it has: one loads while the other serves.
const REPLICAS_MIN: usize = 2;

/// Upper limit on the slots that a model uses for each item of its newest step. Two steps are open
/// at a time, and half as many slots again are headroom for items that are moved and for replicas
/// that load. More loads would serve no item: without this limit, 4,104 orders were given on 3,000
/// replicas for 500 items per step.
pub const SLOTS_PER_ITEM: u32 = 3;

/// Settings of the plan.
#[value]
#[derive(Copy)]
pub struct OrderSettings {
    /// Fewest concurrent loads over all replicas, however small the fleet. Loads share one source,
    /// so more of them take longer each.
    pub loads_min: usize,
    /// One more concurrent load is allowed for each such number of replicas. Larger fleets have
    /// larger sources, which slow down once a fifth of the replicas load.
    pub replicas_per_load: usize,
    /// How many versions behind the newest one a usable version may be.
    pub lag_versions: u64,
    /// Number of replicas that a model uses, in hundredths of its share of the requested tokens, if
    /// several models share the replicas.
    pub share_hundredths: u64,
}

impl Default for OrderSettings {
    fn default() -> Self {
        Self {
            loads_min: 3,
            replicas_per_load: 4,
            lag_versions: 1,
            share_hundredths: SHARE_HUNDREDTHS,
        }
    }
}

impl OrderSettings {
    /// Number of concurrent loads for a number of replicas.
    pub fn loads_at_once(&self, replicas: usize) -> usize {
        self.loads_min.max(replicas / self.replicas_per_load)
    }
}

/// A model and its demand.
#[value]
pub struct Model {
    /// Name of the model in the configuration.
    pub name: String,
    /// Newest version of the weights that the trainer has named.
    pub newest_version: u64,
    /// Tokens that the model's newest step asks for; 0 if the model has no step yet.
    pub work_tokens: u64,
    /// Number of items in the model's newest step.
    pub items: u64,
}

/// A replica and the weights that it has.
#[value]
pub struct Replica {
    /// Versions that the replica has, in the order of [`Fleet::models`].
    pub versions: Vec<u64>,
    /// The load that the replica has accepted or may have accepted: the index of the model and the
    /// version.
    pub loading: Option<(usize, u64)>,
    /// Whether the replica may be given an order now.
    pub accepts_orders: bool,
    /// Number of items that the replica runs concurrently.
    pub slots: u64,
}

/// Input of the plan.
#[value]
pub struct Fleet {
    /// Models, in the same order for every plan.
    pub models: Vec<Model>,
    /// Replicas, in the same order for every plan.
    pub replicas: Vec<Replica>,
}

/// An order to a replica to load a version.
#[value]
pub struct LoadOrder {
    /// Index in [`Fleet::replicas`].
    pub replica: usize,
    /// Index in [`Fleet::models`].
    pub model: usize,
    /// Version to load.
    pub version: u64,
}

/// Number of replicas that each model uses. A single model uses all replicas; otherwise a model
/// uses its share by requested tokens, scaled by the settings. Both numbers are limited to the
/// replicas that the model's items can fill. A model without a step counts as the mean of the
/// others.
fn replica_counts(fleet: &Fleet, settings: &OrderSettings) -> Vec<usize> {
    let replicas = fleet.replicas.len();
    let work = known_or_mean(fleet.models.iter().map(|model| model.work_tokens));
    let total: u64 = work.iter().sum();
    let share = |work: u64| match fleet.models.len() {
        1 => replicas,
        _ => (replicas as u64 * work * settings.share_hundredths).div_ceil(total * 100) as usize,
    };
    let slots: u64 = fleet.replicas.iter().map(|replica| replica.slots).sum();
    let slots_per_replica = (slots / (replicas as u64).max(1)).max(1);
    let items = known_or_mean(fleet.models.iter().map(|model| model.items));
    let replicas_filled =
        |items: u64| (items * u64::from(SLOTS_PER_ITEM)).div_ceil(slots_per_replica) as usize;
    let known = fleet.models.iter().any(|model| model.items > 0);
    work.into_iter()
        .zip(items)
        .map(|(work, items)| match known {
            true => share(work).min(replicas_filled(items)),
            false => share(work),
        })
        .map(|count| count.max(REPLICAS_MIN).min(replicas))
        .collect()
}

/// Replaces each 0 by the mean of the other figures, or by 1 if all are 0.
fn known_or_mean(figures: impl Iterator<Item = u64>) -> Vec<u64> {
    let figures: Vec<u64> = figures.collect();
    let known = figures.iter().filter(|figure| **figure > 0).count() as u64;
    let mean = (figures.iter().sum::<u64>() / known.max(1)).max(1);
    let or_mean = |figure| if figure == 0 { mean } else { figure };
    figures.into_iter().map(or_mean).collect()
}

/// Loads of one model, and the number of its replicas that have a usable version.
struct ModelLoads {
    usable: usize,
    loads: Vec<LoadOrder>,
}

/// Returns the loads to order now. Replicas without a usable version come first; among the models,
/// the next load always goes to the one with the fewest usable replicas. With a fixed order of
/// models the last model got no load for ten seconds after an outage, because the other trainers
/// kept naming versions.
pub fn plan_loads(fleet: &Fleet, settings: &OrderSettings) -> Vec<LoadOrder> {
    let mut assigned = vec![0_usize; fleet.replicas.len()];
    let mut unusable = Vec::new();
    let mut early = Vec::new();
    for (model, count) in replica_counts(fleet, settings).into_iter().enumerate() {
        let members = members(fleet, model, count, &assigned, settings);
        for replica in &members {
            assigned[*replica] += 1;
        }
        let (first, later) = collect_loads(fleet, model, &members, settings);
        let usable = members.len() - first.len();
        unusable.push(ModelLoads {
            usable,
            loads: first,
        });
        early.push(ModelLoads {
            usable,
            loads: later,
        });
    }
    let running = fleet
        .replicas
        .iter()
        .filter(|replica| replica.loading.is_some())
        .count();
    let capacity = settings
        .loads_at_once(fleet.replicas.len())
        .saturating_sub(running);
    let mut ordered = vec![false; fleet.replicas.len()];
    let mut loads = Vec::new();
    for mut wanted in [unusable, early] {
        while loads.len() < capacity {
            let Some(load) = next_load(fleet, &mut wanted, &ordered) else {
                break;
            };
            ordered[load.replica] = true;
            loads.push(load);
        }
    }
    loads
}

/// Takes the next load of the model with the fewest usable replicas.
fn next_load(fleet: &Fleet, wanted: &mut [ModelLoads], ordered: &[bool]) -> Option<LoadOrder> {
    for model in wanted.iter_mut() {
        let may_load = |load: &LoadOrder| {
            fleet.replicas[load.replica].accepts_orders && !ordered[load.replica]
        };
        model.loads.retain(may_load);
    }
    let pending = wanted.iter_mut().filter(|model| !model.loads.is_empty());
    let model = pending.min_by_key(|model| model.usable)?;
    model.usable += 1;
    Some(model.loads.remove(0))
}

fn version_of(replica: &Replica, model: usize) -> u64 {
    match replica.loading {
        Some((loading, version)) if loading == model => version,
        _ => replica.versions[model],
    }
}

/// Selects the replicas that serve a model: first those with a usable version, then by the newest
/// version, then by the fewest models served.
fn members(
    fleet: &Fleet,
    model: usize,
    count: usize,
    assigned: &[usize],
    settings: &OrderSettings,
) -> Vec<usize> {
    let newest = fleet.models[model].newest_version;
    let mut order: Vec<usize> = (0..fleet.replicas.len()).collect();
    order.sort_by_key(|at| {
        let version = version_of(&fleet.replicas[*at], model);
        let usable = version + settings.lag_versions >= newest;
        let sort_version = if usable { newest } else { version };
        (
            Reverse(sort_version),
            assigned[*at],
            (*at + model * fleet.replicas.len() / 3) % fleet.replicas.len(),
        )
    });
    order.truncate(count);
    order
}

/// Returns a model's loads at replicas without a usable version, and its early loads at replicas
/// that still have one.
fn collect_loads(
    fleet: &Fleet,
    model: usize,
    members: &[usize],
    settings: &OrderSettings,
) -> (Vec<LoadOrder>, Vec<LoadOrder>) {
    let newest = fleet.models[model].newest_version;
    let version_at = |replica: &usize| version_of(&fleet.replicas[*replica], model);
    let load = |replica: &usize| LoadOrder {
        replica: *replica,
        model,
        version: newest,
    };
    let at_newest = members
        .iter()
        .filter(|replica| version_at(replica) >= newest)
        .count();
    let is_unusable = |replica: &&usize| version_at(replica) + settings.lag_versions < newest;
    let unusable: Vec<LoadOrder> = members.iter().filter(is_unusable).map(load).collect();
    // Replicas with a usable version load only if fewer than half of the replicas would have the
    // newest version otherwise. When the next version is named, half of the replicas are then still
    // usable.
    let missing = (members.len() / 2).saturating_sub(at_newest + unusable.len());
    let usable = |replica: &&usize| version_at(replica) < newest && !is_unusable(replica);
    let early = members
        .iter()
        .filter(usable)
        .take(missing)
        .map(load)
        .collect();
    (unusable, early)
}
