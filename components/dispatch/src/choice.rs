//! Choice of a replica for a call.

use crate::ReplicaLoad;

/// Penalty for another failure domain, in thousandths of the cost: a millisecond of way.
const FAR: u64 = 1_050;
/// Time for a new connection: a round trip, the replica's work for it, and its place in the queue.
/// Fronts with few calls so stay with a replica, and a fleet of them opens a connection for few of
/// its calls; under load what is in progress decides.
const CONNECT_US: u64 = 5_000;

/// A replica that may be chosen.
pub struct Candidate<'a> {
    /// What this process has there.
    pub load: &'a ReplicaLoad,
    /// Whether it stands in this process's failure domain.
    pub same_domain: bool,
    /// Whether an idle connection to it is pooled here.
    pub connected: bool,
}

/// Index of the replica to take: the one with the least expected time among those that are
/// not left out; failing that, among all. Those that the call was sent to before are no
/// candidates. `random` breaks ties, so that processes with the same view spread.
pub fn choose_replica(
    candidates: &[Candidate<'_>],
    typical_us: u64,
    random: u64,
    now_ms: u64,
) -> Option<usize> {
    let best = |allowed: &dyn Fn(&Candidate<'_>) -> bool| {
        let len = candidates.len();
        let first = random as usize % len.max(1);
        (0..len)
            .map(|step| (first + step) % len)
            .filter(|at| allowed(&candidates[*at]))
            .min_by_key(|at| cost(&candidates[*at], typical_us, now_ms))
    };
    best(&|candidate| !candidate.load.is_ejected(now_ms)).or_else(|| best(&|_| true))
}

fn cost(candidate: &Candidate<'_>, typical_us: u64, now_ms: u64) -> u64 {
    let work_us = match candidate.connected {
        true => typical_us,
        false => typical_us + CONNECT_US,
    };
    let cost = candidate.load.cost(work_us, now_ms);
    match candidate.same_domain {
        true => cost,
        false => cost / 1_000 * FAR,
    }
}
