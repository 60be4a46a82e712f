//! Shards of the work of a pool of model replicas.
//!
//! All models that share replicas compete for the same slots. If each front ran one model, several
//! fronts would fill the same replicas without knowing of each other and find out only through
//! refusals and slow runs. The work is therefore divided by replica: a shard consists of some of
//! the replicas and some of each step's groups of items. One front runs a shard and knows every run
//! at the shard's replicas. Each step records its number of shards, so that all processes divide
//! its work identically.

use crate::partition::name_hash;

/// Target number of replica slots per shard where larger fronts run the shards. Such a front has
/// half a core; 228 slots take 0.085 of a core on average and several times that while steps
/// begin. Smaller shards would not be better: a step is late whenever one of its shards changes its
/// owner.
pub const LARGE_SHARD_SLOTS: u32 = 288;
/// Target number of replica slots per shard where all fronts have only a tenth of a core.
pub const SMALL_SHARD_SLOTS: u32 = 48;
/// Hysteresis for the number of shards, in halves of the target slots per shard: a pool is divided
/// into more shards at `HALVES_MAX` and into fewer below `HALVES_MIN`. Steps that are divided by
/// different numbers of shards run at the same replicas and compete for their slots.
const HALVES_MAX: u32 = 3;
const HALVES_MIN: u32 = 1;
/// The first shard of each pool maps to one of the last sixth of the partitions.
const FIRST_PARTITIONS_DIVISOR: u32 = 6;

/// Number of shards for a pool with this many slots, where the previous step had `previous` shards.
pub fn shard_count(
    slots: u32,
    slots_per_shard: u32,
    previous: Option<u16>,
    partitions: u32,
) -> u16 {
    let slots_per_shard = slots_per_shard.max(1);
    let max_shards = u16::try_from(partitions.max(1)).unwrap_or(u16::MAX);
    if let Some(previous) = previous.filter(|previous| (1..=max_shards).contains(previous)) {
        let halves = slots.saturating_mul(2) / u32::from(previous) / slots_per_shard;
        let too_few = halves >= HALVES_MAX && previous < max_shards;
        let too_many = halves < HALVES_MIN && previous > 1;
        if !too_few && !too_many {
            return previous;
        }
    }
    let wanted = slots.div_ceil(slots_per_shard);
    u16::try_from(wanted)
        .unwrap_or(max_shards)
        .clamp(1, max_shards)
}

/// Assigns each group of a step to a shard: in descending order of work, each group goes to the
/// shard with the least work so far. `rotation` rotates the order of the shards, so that the
/// largest groups of all steps do not fall on the same shard.
pub fn assign_groups(work: &[u64], shards: u16, rotation: u64) -> Vec<u16> {
    let shards = usize::from(shards.max(1));
    let first = (rotation % shards as u64) as usize;
    let mut order: Vec<usize> = (0..work.len()).collect();
    order.sort_by_key(|group| std::cmp::Reverse(work[*group]));
    let mut loads = vec![0_u64; shards];
    let mut shard_of = vec![0; work.len()];
    for group in order {
        let next = (0..shards)
            .map(|offset| (first + offset) % shards)
            .min_by_key(|shard| loads[*shard])
            .unwrap_or(0);
        loads[next] += work[group].max(1);
        shard_of[group] = next as u16;
    }
    shard_of
}

/// Shard of each replica of a pool: the replicas are sorted by the hash of their ids and divided
/// into equal parts. A replica that is added or removed moves at most one other replica across
/// each boundary between shards.
pub fn replica_shards<'a>(ids: impl Iterator<Item = &'a str>, shards: u16) -> Vec<u16> {
    let hashes: Vec<u64> = ids.map(name_hash).collect();
    let mut order: Vec<usize> = (0..hashes.len()).collect();
    order.sort_by_key(|replica| hashes[*replica]);
    let shards = usize::from(shards.max(1));
    let mut shard_of = vec![0; hashes.len()];
    for (rank, replica) in order.into_iter().enumerate() {
        shard_of[replica] = (rank * shards / hashes.len()) as u16;
    }
    shard_of
}

/// Partition whose owner runs a shard of a pool.
///
/// When a group grows, the store is observed to reassign the lowest partition of the member with
/// the most partitions. A shard on that partition changes its owner, and its texts resume from
/// their last saved pieces. The highest partitions move least often, so shards map to them. Only
/// the number of moves depends on this choice: on a day with two rolling restarts, it raises the
/// share of the day's worth that is earned, over ten seeds, from 0.815 to 0.931 at worst and from
/// 0.923 to 0.944 on average. Pools start at different partitions among the last sixth.
pub fn shard_partition(pool: &str, shard: u16, partitions: u32) -> u32 {
    let partitions = partitions.max(1);
    let first_partitions = u64::from((partitions / FIRST_PARTITIONS_DIVISOR).max(1));
    let first = (name_hash(pool) % first_partitions) as u32;
    partitions - 1 - (first + u32::from(shard)) % partitions
}
