//! Shards of the work of a pool of model replicas.
//!
//! All models that share replicas compete for the same places. Fronts that run one model each
//! fill the same replicas blind to each other and learn it by refusals and silence, so the
//! work is cut the other way: a shard has a part of the replicas, and a part of each step's
//! groups of items. One front runs a shard and knows all that runs at its replicas. How many
//! shards there are stands with each step, so that all processes deal it alike.

use crate::partition::name_hash;

/// Places of model replicas that a shard has, or fewer, where larger fronts run it. Such a front
/// has half a core; 228 places keep it at work for 0.085 of a core on average, as measured,
/// and for several times that while steps begin. More shards would not be better: a step is
/// late whenever one of its shards changes its owner.
pub const LARGE_SHARD_SLOTS: u32 = 288;
/// The same where only fronts with a tenth of a core are there.
pub const SMALL_SHARD_SLOTS: u32 = 48;
/// A shard may have so many times that before its pool is cut into more shards, and so many
/// times less before it is cut into fewer, in halves: steps that are dealt by two counts get
/// in each other's way.
const MOST_HALVES: u32 = 3;
const LEAST_HALVES: u32 = 1;
/// Share of the partitions among which pools begin: the last sixth.
const POOL_SHARE: u32 = 6;

/// Number of shards for a pool with this many places, `slots_per_shard` a shard, where the step before
/// had `before`.
pub fn shard_count(places: u32, slots_per_shard: u32, before: Option<u16>, partitions: u32) -> u16 {
    let slots_per_shard = slots_per_shard.max(1);
    let most = u16::try_from(partitions.max(1)).unwrap_or(u16::MAX);
    if let Some(before) = before.filter(|before| (1..=most).contains(before)) {
        let halves = places.saturating_mul(2) / u32::from(before) / slots_per_shard;
        let too_few = halves >= MOST_HALVES && before < most;
        let too_many = halves < LEAST_HALVES && before > 1;
        if !too_few && !too_many {
            return before;
        }
    }
    let wanted = places.div_ceil(slots_per_shard);
    u16::try_from(wanted).unwrap_or(most).clamp(1, most)
}

/// Shard of each group, by the work in it: the next largest group goes to the shard with the
/// least. `salt` turns the shards, so that the largest groups of all steps don't meet.
pub fn assign_groups(work: &[u64], shards: u16, salt: u64) -> Vec<u16> {
    let shards = usize::from(shards.max(1));
    let first = (salt % shards as u64) as usize;
    let mut order: Vec<usize> = (0..work.len()).collect();
    order.sort_by_key(|group| std::cmp::Reverse(work[*group]));
    let mut loads = vec![0_u64; shards];
    let mut dealt = vec![0; work.len()];
    for group in order {
        let next = (0..shards)
            .map(|turn| (first + turn) % shards)
            .min_by_key(|shard| loads[*shard])
            .unwrap_or(0);
        loads[next] += work[group].max(1);
        dealt[group] = next as u16;
    }
    dealt
}

/// Shard of each replica of a pool, by their ids: equal parts of the order of their hashes.
/// One that comes or goes moves at most one replica across each border.
pub fn replica_shards<'a>(ids: impl Iterator<Item = &'a str>, shards: u16) -> Vec<u16> {
    let hashes: Vec<u64> = ids.map(name_hash).collect();
    let mut order: Vec<usize> = (0..hashes.len()).collect();
    order.sort_by_key(|replica| hashes[*replica]);
    let shards = usize::from(shards.max(1));
    let mut dealt = vec![0; hashes.len()];
    for (rank, replica) in order.into_iter().enumerate() {
        dealt[replica] = (rank * shards / hashes.len()) as u16;
    }
    dealt
}

/// Partition whose owner runs a shard of a pool.
///
/// As a group grows, the store takes the lowest partition of whoever has most, as observed; a
/// shard that stands there changes its owner, and its texts begin anew behind what was saved.
/// The last partitions move least. Nothing but the number of moves depends on it: on a day
/// with two rolling restarts the worst of ten seeds went from 0.815 to 0.931 of its worth, the
/// mean from 0.923 to 0.944. Pools begin at different ones among the last sixth.
pub fn shard_partition(pool: &str, shard: u16, partitions: u32) -> u32 {
    let partitions = partitions.max(1);
    let firsts = u64::from((partitions / POOL_SHARE).max(1));
    let first = (name_hash(pool) % firsts) as u32;
    partitions - 1 - (first + u32::from(shard)) % partitions
}
