//! Selects the replica for a call, by the least expected completion time.

use crate::ReplicaLoad;

/// Factor on the cost of a replica in another failure domain, in thousandths. It stands for about a
/// millisecond of network latency.
const REMOTE_COST_THOUSANDTHS: u64 = 1_050;
/// Cost of opening a connection: a round trip, the replica's work to accept it, and its place in
/// the replica's queue. With this cost a front that sends few calls stays with a connected replica,
/// and a fleet of such fronts opens a connection for few of its calls. Under load the calls in
/// progress outweigh it.
const CONNECT_COST_US: u64 = 5_000;

/// A replica that a call may be sent to.
pub struct Candidate<'a> {
    /// Calls of this process at the replica.
    pub load: &'a ReplicaLoad,
    /// Whether the replica is in this process's failure domain.
    pub same_domain: bool,
    /// Whether this process has an idle pooled connection to the replica.
    pub connected: bool,
}

/// Returns the index of the candidate with the least expected time among those that are not
/// ejected, or among all if every candidate is ejected. The caller leaves out replicas that the
/// call was already sent to. `random` selects the candidate at which the comparison starts and so
/// breaks ties; processes with the same view then spread their calls.
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
        false => typical_us + CONNECT_COST_US,
    };
    let cost = candidate.load.cost(work_us, now_ms);
    match candidate.same_domain {
        true => cost,
        false => cost / 1_000 * REMOTE_COST_THOUSANDTHS,
    }
}
