//! Room for runs of samples at the replicas of a model.

use std::collections::HashMap;
use std::net::SocketAddr;

use routing::Table;
use samples::{Replica, Room};

/// Runs that this entry has at one replica at most.
const RUNS_PER_REPLICA: u32 = 16;

/// Room at the replicas of `table`. `runs` counts the runs that the ledgers have started
/// there, which the table's own counters do not know yet when the runs have only begun.
pub fn room(table: &Table, runs: &HashMap<SocketAddr, u32>) -> Room {
    let slots = table.slots().iter().filter(|slot| !slot.replica.leaving);
    let replicas: Vec<Replica> = slots
        .map(|slot| {
            let address = slot.replica.node.address;
            let own_runs = runs.get(&address).copied().unwrap_or(0);
            let outstanding = slot.counters().calls().max(own_runs);
            Replica {
                address,
                room: RUNS_PER_REPLICA.saturating_sub(outstanding),
                version: slot.replica.weights,
            }
        })
        .collect();
    let free: u32 = replicas.iter().map(|replica| replica.room).sum();
    let count = u32::try_from(replicas.len()).unwrap_or(u32::MAX);
    Room {
        in_progress_max: count.saturating_mul(RUNS_PER_REPLICA).max(free),
        replicas,
    }
}
