//! Intervals of the topics that every process follows.

use crate::TopicPace;

/// How long a read waits for a record. One that comes back empty proves that nothing is new,
/// and answers to trainers rely on a proof that is younger than a second.
const WAIT_MS: u64 = 450;
/// The same at a process for which nobody waits: the interval behind the read is part of the
/// second.
const IDLE_WAIT_MS: u64 = 250;

/// Intervals of the index, of usage and of the operator's records.
pub const LOG_PACE: TopicPace = TopicPace {
    acting_ms: 20,
    waiting_ms: 50,
    idle_ms: 500,
    wait_ms: WAIT_MS,
    idle_wait_ms: IDLE_WAIT_MS,
};

/// Intervals of replicas' records, so that the heartbeats of many cost few calls; far below the
/// two seconds in which a leaving replica must be known.
pub const REPLICA_PACE: TopicPace = TopicPace {
    acting_ms: 120,
    waiting_ms: 500,
    idle_ms: 500,
    wait_ms: WAIT_MS,
    idle_wait_ms: IDLE_WAIT_MS,
};
