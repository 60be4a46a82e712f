//! The plan of loads: a pure function of what is known.

use std::cmp::Reverse;

use derive::value;

/// Replicas that a model uses, in hundredths of its part. A replica that serves two models loads
/// for both, and all loads share one source: at two parts a fleet of 38 replicas for three
/// models loads nearly without a pause. At one part too few replicas have weights of use when
/// a step begins.
const SHARE_HUNDREDTHS: u64 = 200;

/// Replicas that a model uses at least, however little it owes: one loads while the other serves.
const NODES_MIN: usize = 2;

/// Places that a model uses for each item of its newest step, at most: two steps are open at a time,
/// and half as many again are headroom for items that are moved and replicas that load. Beyond
/// it loads serve nobody: on 3,000 replicas 4,104 orders were given for 500 items a step.
pub const SLOTS_PER_ITEM: u32 = 3;

/// Settings of the plan.
#[value]
#[derive(Copy)]
pub struct OrderSettings {
    /// Loads at once over all replicas, however few there are. More share one source and take
    /// longer each.
    pub loads_min: usize,
    /// One load more for each so many replicas: larger fleets have larger sources, which
    /// slow down from a fifth of the replicas on.
    pub replicas_per_load: usize,
    /// Versions behind the named one that are still of use.
    pub lag_versions: u64,
    /// Replicas that a model uses, in hundredths of its part by the work that it owes, where
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
    /// Loads at once over `nodes` replicas.
    pub fn loads_at_once(&self, replicas: usize) -> usize {
        self.loads_min.max(replicas / self.replicas_per_load)
    }
}

/// A model and its newest named version.
#[value]
pub struct Model {
    /// Its name.
    pub name: String,
    /// Newest version that was named.
    pub newest_version: u64,
    /// Tokens that its newest step asks for; 0 if it has none yet.
    pub work_tokens: u64,
    /// Items of that step.
    pub items: u64,
}

/// A replica.
#[value]
pub struct Replica {
    /// Versions that it has, in the order of [`Fleet::models`].
    pub versions: Vec<u64>,
    /// The load that it has accepted or may have accepted: index of the model, version.
    pub loading: Option<(usize, u64)>,
    /// Whether an order may be given now.
    pub accepts_orders: bool,
    /// Items that it runs at once.
    pub slots: u64,
}

/// All that a plan is made from.
#[value]
pub struct Fleet {
    /// Models, in a fixed order.
    pub models: Vec<Model>,
    /// Replicas, in a fixed order.
    pub replicas: Vec<Replica>,
}

/// One load to order.
#[value]
pub struct LoadOrder {
    /// Index of the replica.
    pub replica: usize,
    /// Index of the model.
    pub model: usize,
    /// Version to load.
    pub version: u64,
}

/// Replicas that each model uses: all where there is one model, else twice its part by the work
/// that it owes, and in both cases no more than its items fill. A model without a step counts as
/// the mean of the others.
fn wanted(fleet: &Fleet, settings: &OrderSettings) -> Vec<usize> {
    let nodes = fleet.replicas.len();
    let work = known_or_mean(fleet.models.iter().map(|model| model.work_tokens));
    let total: u64 = work.iter().sum();
    let part = |work: u64| match fleet.models.len() {
        1 => nodes,
        _ => (nodes as u64 * work * settings.share_hundredths).div_ceil(total * 100) as usize,
    };
    let slots: u64 = fleet.replicas.iter().map(|node| node.slots).sum();
    let slots_each = (slots / (nodes as u64).max(1)).max(1);
    let items = known_or_mean(fleet.models.iter().map(|model| model.items));
    let filled = |items: u64| (items * u64::from(SLOTS_PER_ITEM)).div_ceil(slots_each) as usize;
    let known = fleet.models.iter().any(|model| model.items > 0);
    work.into_iter()
        .zip(items)
        .map(|(work, items)| match known {
            true => part(work).min(filled(items)),
            false => part(work),
        })
        .map(|count| count.max(NODES_MIN).min(nodes))
        .collect()
}

/// The figures, with the mean of the known ones in place of each 0; all alike if none is known.
fn known_or_mean(figures: impl Iterator<Item = u64>) -> Vec<u64> {
    let figures: Vec<u64> = figures.collect();
    let known = figures.iter().filter(|figure| **figure > 0).count() as u64;
    let mean = (figures.iter().sum::<u64>() / known.max(1)).max(1);
    let or_mean = |figure| if figure == 0 { mean } else { figure };
    figures.into_iter().map(or_mean).collect()
}

/// Loads of one model, and how many of its replicas are of use.
struct Wanted {
    useful: usize,
    loads: Vec<LoadOrder>,
}

/// The loads to order now: those at replicas of no use first, and among the models always
/// for the one with the fewest replicas of use. In a fixed order of models the last one got
/// no load for ten seconds behind an outage, as the others named versions all the while.
pub fn plan_loads(fleet: &Fleet, settings: &OrderSettings) -> Vec<LoadOrder> {
    let mut assigned = vec![0_usize; fleet.replicas.len()];
    let mut useless = Vec::new();
    let mut early = Vec::new();
    for (model, count) in wanted(fleet, settings).into_iter().enumerate() {
        let members = members(fleet, model, count, &assigned, settings);
        for node in &members {
            assigned[*node] += 1;
        }
        let (first, later) = collect_loads(fleet, model, &members, settings);
        let useful = members.len() - first.len();
        useless.push(Wanted {
            useful,
            loads: first,
        });
        early.push(Wanted {
            useful,
            loads: later,
        });
    }
    let running = fleet
        .replicas
        .iter()
        .filter(|node| node.loading.is_some())
        .count();
    let room = settings
        .loads_at_once(fleet.replicas.len())
        .saturating_sub(running);
    let mut taken = vec![false; fleet.replicas.len()];
    let mut loads = Vec::new();
    for mut wanted in [useless, early] {
        while loads.len() < room {
            let Some(load) = next_load(fleet, &mut wanted, &taken) else {
                break;
            };
            taken[load.replica] = true;
            loads.push(load);
        }
    }
    loads
}

/// The next load for the model with the fewest replicas of use.
fn next_load(fleet: &Fleet, wanted: &mut [Wanted], taken: &[bool]) -> Option<LoadOrder> {
    for model in wanted.iter_mut() {
        let may_load =
            |load: &LoadOrder| fleet.replicas[load.replica].accepts_orders && !taken[load.replica];
        model.loads.retain(may_load);
    }
    let open = wanted.iter_mut().filter(|model| !model.loads.is_empty());
    let model = open.min_by_key(|model| model.useful)?;
    model.useful += 1;
    Some(model.loads.remove(0))
}

fn version_of(node: &Replica, model: usize) -> u64 {
    match node.loading {
        Some((loading, version)) if loading == model => version,
        _ => node.versions[model],
    }
}

/// Replicas that serve a model: those that are of use now, then the newest, then those that
/// serve the fewest models.
fn members(
    fleet: &Fleet,
    model: usize,
    count: usize,
    assigned: &[usize],
    settings: &OrderSettings,
) -> Vec<usize> {
    let named = fleet.models[model].newest_version;
    let mut order: Vec<usize> = (0..fleet.replicas.len()).collect();
    order.sort_by_key(|at| {
        let version = version_of(&fleet.replicas[*at], model);
        let useful = version + settings.lag_versions >= named;
        let newest = if useful { named } else { version };
        (
            Reverse(newest),
            assigned[*at],
            (*at + model * fleet.replicas.len() / 3) % fleet.replicas.len(),
        )
    });
    order.truncate(count);
    order
}

/// Loads of a model at replicas of no use, and those at replicas that are of use still.
fn collect_loads(
    fleet: &Fleet,
    model: usize,
    members: &[usize],
    settings: &OrderSettings,
) -> (Vec<LoadOrder>, Vec<LoadOrder>) {
    let named = fleet.models[model].newest_version;
    let held = |node: &usize| version_of(&fleet.replicas[*node], model);
    let load = |node: &usize| LoadOrder {
        replica: *node,
        model,
        version: named,
    };
    let at_named = members.iter().filter(|node| held(node) >= named).count();
    let behind = |node: &&usize| held(node) + settings.lag_versions < named;
    let useless: Vec<LoadOrder> = members.iter().filter(behind).map(load).collect();
    // Replicas that are of use load only where half of them would not have the newest
    // version otherwise, so that the next version finds half of them of use again.
    let missing = (members.len() / 2).saturating_sub(at_named + useless.len());
    let useful = |node: &&usize| held(node) < named && !behind(node);
    let early = members
        .iter()
        .filter(useful)
        .take(missing)
        .map(load)
        .collect();
    (useless, early)
}
