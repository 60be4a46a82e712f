//! Which replicas of a service have room for a call.

use derive::key;
use limits::Capacity;
use types::Class;

/// Limit on this process's background calls in flight at one replica where calls are not queued.
/// Leaves a third of six slots to other calls while three processes send background calls.
pub const BACKGROUND_MAX: u32 = 2;
/// Part of the limit of a replica that background calls may fill where calls are queued, in
/// thousandths, but [`BACKGROUND_MAX`] calls at least. The rest is free at once for a customer's
/// call of this or another process.
const BACKGROUND_THOUSANDTHS: u64 = 667;

/// This process's use of one replica that accepts work.
#[key]
pub struct ReplicaUse {
    /// Limit on calls in flight.
    pub limit: u32,
    /// Calls in flight.
    pub calls: u32,
    /// Calls in flight that belong to the background class.
    pub background: u32,
    /// Whether the replica has just refused a call and is to get none now.
    pub paused: bool,
    /// Whether the replica is ejected after consecutive failures.
    pub ejected: bool,
}

/// Whether a replica has room for one more call of `class`.
pub fn has_room(replica: &ReplicaUse, class: Class) -> bool {
    let share = u64::from(replica.limit) * BACKGROUND_THOUSANDTHS / 1_000;
    let below_background_max = u64::from(replica.background) < share.max(BACKGROUND_MAX.into());
    let is_open = !replica.paused && replica.calls < replica.limit;
    is_open && (class == Class::Interactive || below_background_max)
}

/// The replicas that calls may be sent to: those that are not ejected, or all if every one is.
pub fn usable(replicas: &[ReplicaUse]) -> impl Iterator<Item = (usize, &ReplicaUse)> + Clone {
    let all_ejected = replicas.iter().all(|replica| replica.ejected);
    let replicas = replicas.iter().enumerate();
    replicas.filter(move |(_, replica)| all_ejected || !replica.ejected)
}

/// Slots of the service and their use. A replica above its limit counts as full, so that it does
/// not take away the free slots of the others. For the estimate of a wait, the slots of a paused
/// replica count: it is open again before a wait ends that would matter.
pub(crate) fn estimate_capacity(replicas: &[ReplicaUse], hold_ms: u32) -> Capacity {
    sum_capacity(replicas, hold_ms, |replica| replica.limit)
}

/// As [`estimate_capacity`], without the free slots of paused replicas.
pub(crate) fn free_capacity(replicas: &[ReplicaUse], hold_ms: u32) -> Capacity {
    let open_limit = |replica: &ReplicaUse| match replica.paused {
        true => 0,
        false => replica.limit,
    };
    sum_capacity(replicas, hold_ms, open_limit)
}

fn sum_capacity(
    replicas: &[ReplicaUse],
    hold_ms: u32,
    limit_of: impl Fn(&ReplicaUse) -> u32,
) -> Capacity {
    let empty = Capacity {
        in_progress: 0,
        limit: 0,
        hold_ms,
    };
    usable(replicas).fold(empty, |sum, (_, replica)| Capacity {
        in_progress: sum.in_progress.saturating_add(replica.calls),
        limit: sum
            .limit
            .saturating_add(limit_of(replica).max(replica.calls)),
        ..sum
    })
}

/// Classes for which no replica has room.
pub(crate) fn closed_classes(replicas: &[ReplicaUse]) -> Vec<Class> {
    let is_closed = |class: &Class| !usable(replicas).any(|(_, replica)| has_room(replica, *class));
    Class::ALL.into_iter().filter(is_closed).collect()
}
