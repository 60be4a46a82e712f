//! Intervals for the topics that every process follows.

use crate::TopicPace;

/// How long a read waits for a record. A read that returns no record proves that the process knows
/// the whole log, and answers to trainers rely on a proof that is less than a second old.
const WAIT_MS: u64 = 450;
/// The same for an idle process. It is shorter because the interval after the read also counts
/// towards the second.
const IDLE_WAIT_MS: u64 = 250;

/// Intervals for the index, the usage records and the operator's records.
pub const LOG_PACE: TopicPace = TopicPace {
    acting_ms: 20,
    waiting_ms: 50,
    idle_ms: 500,
    wait_ms: WAIT_MS,
    idle_wait_ms: IDLE_WAIT_MS,
};

/// Intervals for the replicas' records. Those of acting and waiting processes are longer than in
/// [`LOG_PACE`], so that the heartbeats of many replicas cost few calls, but far below the two
/// seconds within which a leaving replica must be known.
pub const REPLICA_PACE: TopicPace = TopicPace {
    acting_ms: 120,
    waiting_ms: 500,
    idle_ms: 500,
    wait_ms: WAIT_MS,
    idle_wait_ms: IDLE_WAIT_MS,
};
