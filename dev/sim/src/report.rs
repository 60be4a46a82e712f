//! Results of a simulation run.

use serde::Serialize;

use crate::store::TOPICS;

/// Rates of one topic, averaged over the counted part of the run.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct TopicReport {
    /// Reads per second that the store served.
    pub reads_per_s: f64,
    /// Reads per second that the store refused.
    pub refused_per_s: f64,
    /// Bytes per second that the store returned.
    pub bytes_per_s: f64,
    /// Appends per second.
    pub appends_per_s: f64,
}

/// Time from the append of a change until fronts read it. Fronts hit by a fault are left out.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Propagation {
    /// Median over the fronts that read the change.
    pub p50_ms: u64,
    /// Maximum over the fronts that read the change.
    pub last_ms: u64,
    /// Number of fronts that never read the change.
    pub missing: u64,
}

/// Results of a simulation run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    /// Number of fronts.
    pub fronts: usize,
    /// Rates of the topics index, operator and replicas, in this order.
    pub topics: [TopicReport; TOPICS.len()],
    /// Group calls per second. The store counts each as a tenth of a call.
    pub group_per_s: f64,
    /// All calls per second, with a group call counted as a tenth of a call.
    pub calls_per_s: f64,
    /// Percentage of reads that the store refused.
    pub refused_hundredths: f64,
    /// Propagation of a configuration change.
    pub configuration: Propagation,
    /// Propagation of the record that a replica is draining.
    pub draining: Propagation,
    /// Time from the append of a step's acceptance until the owner of the first shard reads it.
    pub accepted_ms: u64,
    /// Time from the loss of the lease holder until another front may give orders; 0 without a
    /// fault or if no other front acquired the lease.
    pub holder_gap_ms: u64,
    /// Time from the loss of the first shard's owner until another front may run the shard; 0
    /// without a fault or if no other front got the shard.
    pub owner_gap_ms: u64,
    /// Number of records that fronts wrote to acquire the lease.
    pub takes: u64,
    /// Number of times that two fronts were found able to give orders at once; must be 0.
    pub double_orders: u64,
}

impl Report {
    /// Formats the report as a table row; see [`Report::HEADER`].
    pub fn row(&self) -> String {
        let reads = self.topics.map(|topic| topic.reads_per_s);
        format!(
            "{:>6} {:>7.0} {:>6.0} {:>6.0} {:>6.0} {:>6.0} {:>7.1} {:>7.1} {:>6} {:>6} {:>6} {:>6} {:>6}",
            self.fronts,
            self.calls_per_s,
            reads[0],
            reads[1],
            reads[2],
            self.group_per_s,
            self.refused_hundredths,
            self.topics
                .iter()
                .map(|topic| topic.bytes_per_s)
                .sum::<f64>()
                / 1e6,
            self.configuration.last_ms,
            self.draining.last_ms,
            self.accepted_ms,
            self.holder_gap_ms,
            self.owner_gap_ms,
        )
    }

    /// Table header. Units: calls and reads per second, refused reads in per cent, MB per second,
    /// times in milliseconds.
    pub const HEADER: &str = "fronts   calls  index   oper   repl  group refused    MB/s config  drain accept holder  owner";
}
