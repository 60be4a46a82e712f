//! Capacity for runs of samples at the replicas of a model.

use std::collections::HashMap;
use std::net::SocketAddr;

use routing::{ReplicaState, Table};
use samples::{Replica, RunCapacity};

/// Maximum number of runs that this entry has at one replica.
const RUNS_PER_REPLICA: u32 = 16;

/// Capacity for one step at the replicas of `table`. `run_counts` has the runs that the ledgers
/// have started at each replica; the table's own counters do not include runs that have not yet
/// been sent. `step_counts` has the number of steps that use each replica; each step gets an equal
/// share. If every replica is ejected, the cause is more likely at this entry than at the replicas,
/// so ejection is ignored.
pub fn run_capacity(
    table: &Table,
    run_counts: &HashMap<SocketAddr, u32>,
    step_counts: &HashMap<SocketAddr, u32>,
    is_ejected: impl Fn(SocketAddr) -> bool,
) -> RunCapacity {
    let count = |counts: &HashMap<SocketAddr, u32>, address| counts.get(&address).copied();
    let states = || {
        table
            .replica_states()
            .iter()
            .filter(|state| !state.replica.leaving)
    };
    let ejected = |state: &&ReplicaState| is_ejected(state.replica.node.address);
    let all_ejected = states().all(|state| ejected(&state));
    let mut in_progress_max: u32 = 0;
    let replicas = states()
        .filter(|state| all_ejected || !ejected(state))
        .map(|state| {
            let address = state.replica.node.address;
            let sharing_steps = count(step_counts, address).unwrap_or(1).max(1);
            in_progress_max += RUNS_PER_REPLICA.div_ceil(sharing_steps);
            let own_runs = count(run_counts, address).unwrap_or(0);
            let outstanding = state.counters().calls().max(own_runs);
            Replica {
                address,
                free_runs: RUNS_PER_REPLICA.saturating_sub(outstanding),
                version: state.replica.weights,
            }
        })
        .collect();
    RunCapacity {
        in_progress_max,
        replicas,
    }
}
