//! Room for runs of samples at the replicas of a model.

use std::collections::HashMap;
use std::net::SocketAddr;

use routing::{ReplicaState, Table};
use samples::{Replica, RunCapacity};

/// Runs that this entry has at one replica at most.
const RUNS_PER_REPLICA: u32 = 16;

/// Room for one step at the replicas of `table`. `runs` counts the runs that the ledgers
/// have started at each, which the table's own counters do not know while the runs have
/// only begun; `users` the steps that want it, each of which gets an equal part. Where
/// every replica is ejected, that says more of this entry than of them, and all count.
pub fn room(
    table: &Table,
    runs: &HashMap<SocketAddr, u32>,
    users: &HashMap<SocketAddr, u32>,
    is_ejected: impl Fn(SocketAddr) -> bool,
) -> RunCapacity {
    let count = |counts: &HashMap<SocketAddr, u32>, address| counts.get(&address).copied();
    let slots = || {
        table
            .replica_states()
            .iter()
            .filter(|slot| !slot.replica.leaving)
    };
    let ejected = |slot: &&ReplicaState| is_ejected(slot.replica.node.address);
    let all_ejected = slots().all(|slot| ejected(&slot));
    let mut in_progress_max: u32 = 0;
    let replicas = slots()
        .filter(|slot| all_ejected || !ejected(slot))
        .map(|slot| {
            let address = slot.replica.node.address;
            let users = count(users, address).unwrap_or(1).max(1);
            in_progress_max += RUNS_PER_REPLICA.div_ceil(users);
            let own_runs = count(runs, address).unwrap_or(0);
            let outstanding = slot.counters().calls().max(own_runs);
            Replica {
                address,
                free_runs: RUNS_PER_REPLICA.saturating_sub(outstanding),
                version: slot.replica.weights,
            }
        })
        .collect();
    RunCapacity {
        in_progress_max,
        replicas,
    }
}
