//! What the next owner of a shard takes from the knowledge of the one before.

use std::collections::HashMap;

use lengths::LengthModel;
use pace::ReplicaPace;
use steps::StepId;

use crate::{ReplicaKnowledge, ShardKnowledge};

/// Age up to which a replica counts as refusing items. It refuses while it loads weights, for about
/// a second.
const REFUSAL_AGE_MS_MAX: u64 = 1_000;
/// Age up to which runs are of use. A shard has a new owner within two seconds; later, texts have
/// ended or have newer saved pieces.
const RUN_AGE_MS_MAX: u64 = 3_000;

/// A replica as the next owner knows it.
#[derive(Clone, Copy, Debug)]
pub struct CurrentReplica<'a> {
    /// Id of the replica.
    pub id: &'a str,
    /// Start of its life; `None` if its record does not say so.
    pub started_ms: Option<u64>,
}

/// A replica whose life goes on.
#[derive(Debug)]
pub struct RestoredReplica {
    /// Id of the replica.
    pub id: String,
    /// Pace of the replica in this life.
    pub pace: ReplicaPace,
    /// Models of which it refuses items.
    pub refused_models: Vec<String>,
}

/// A run of the owner before.
#[derive(Debug)]
pub struct RestoredRun {
    /// Step of the item.
    pub step: StepId,
    /// Number of the item in the step, from 0.
    pub item: u32,
    /// Id of the replica.
    pub replica: String,
    /// Events that the text had.
    pub events: u64,
}

/// Knowledge that the next owner can use.
#[derive(Debug, Default)]
pub struct Restored {
    /// Replicas that are still in the life that the owner before observed.
    pub replicas: Vec<RestoredReplica>,
    /// Lengths of texts, by model.
    pub lengths: Vec<(String, LengthModel)>,
    /// Runs at these replicas.
    pub runs: Vec<RestoredRun>,
}

/// Restores the knowledge of the owner before. Leaves out what no longer holds: replicas that are
/// gone, have restarted or don't report their start, refusals and runs that are too old, and lengths
/// of models whose events have another number of tokens now.
///
/// `age_ms` is the time since this process read the record, and `tokens_per_event` gives the tokens
/// of an event of a model, `None` for unknown models.
pub fn restore(
    knowledge: &ShardKnowledge,
    age_ms: u64,
    now_ms: u64,
    replicas: &[CurrentReplica],
    tokens_per_event: impl Fn(&str) -> Option<u32>,
) -> Restored {
    let started: HashMap<&str, u64> = replicas
        .iter()
        .filter_map(|replica| Some((replica.id, replica.started_ms?)))
        .collect();
    let is_in_same_life =
        |known: &&ReplicaKnowledge| started.get(known.id.as_str()) == Some(&known.started_ms);
    let replicas = knowledge.replicas.iter().filter(is_in_same_life);
    let lengths = knowledge
        .lengths
        .iter()
        .filter(|known| tokens_per_event(&known.model) == Some(known.lengths.tokens_per_event));
    let runs = knowledge.runs.iter().filter_map(|run| {
        let replica = knowledge.replicas.get(usize::from(run.replica))?;
        let usable = age_ms <= RUN_AGE_MS_MAX && is_in_same_life(&replica);
        usable.then(|| RestoredRun {
            step: run.step,
            item: run.item,
            replica: replica.id.clone(),
            events: run.events,
        })
    });
    Restored {
        replicas: replicas
            .map(|known| restore_replica(known, age_ms, now_ms))
            .collect(),
        lengths: lengths
            .map(|known| (known.model.clone(), LengthModel::restore(&known.lengths)))
            .collect(),
        runs: runs.collect(),
    }
}

fn restore_replica(known: &ReplicaKnowledge, age_ms: u64, now_ms: u64) -> RestoredReplica {
    RestoredReplica {
        id: known.id.clone(),
        pace: ReplicaPace::restore(&known.pace, age_ms, now_ms),
        refused_models: match age_ms <= REFUSAL_AGE_MS_MAX {
            true => known.refused_models.clone(),
            false => Vec::new(),
        },
    }
}
