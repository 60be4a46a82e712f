//! What a run shows.

use serde::Serialize;

use crate::store::TOPICS;

/// Counts of one topic.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct TopicReport {
    /// Reads that the store served, a second.
    pub reads_per_s: f64,
    /// Reads that it refused, a second.
    pub refused_per_s: f64,
    /// Bytes that it handed out, a second.
    pub bytes_per_s: f64,
    /// Appends a second.
    pub appends_per_s: f64,
}

/// When a change was known, counted from its append.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Spread {
    /// At half of the fronts.
    pub p50_ms: u64,
    /// At the last front that ran all the while and was not turned away.
    pub last_ms: u64,
    /// Fronts that never knew it.
    pub missing: u64,
}

/// What a run shows.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    /// Fronts.
    pub fronts: usize,
    /// By topic: index, operator, replicas.
    pub topics: [TopicReport; TOPICS.len()],
    /// Calls to the group, a second; each counts as a tenth of a call.
    pub group_per_s: f64,
    /// All calls, as the store prices them.
    pub calls_per_s: f64,
    /// Part of the calls that was refused, in hundredths.
    pub refused_hundredths: f64,
    /// A configuration, from its append.
    pub configuration: Spread,
    /// A replica that drains, from its append.
    pub draining: Spread,
    /// A step's acceptance at the front that runs it.
    pub accepted_ms: u64,
    /// From the loss of the holder to the next one's first order; 0 without a fault.
    pub holder_gap_ms: u64,
    /// From the loss of the first shard's owner until another front may run it; 0 without a fault.
    pub owner_gap_ms: u64,
    /// Records that fronts wrote to take the lease.
    pub takes: u64,
    /// Most moments in which two fronts could give orders; must be 0.
    pub double_orders: u64,
}

impl Report {
    /// One row of a table; see [`Report::HEAD`].
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

    /// Head of the table: calls and reads a second, refused in hundredths, MB a second, times in
    /// milliseconds.
    pub const HEAD: &str = "fronts   calls  index   oper   repl  group refused    MB/s config  drain accept holder  owner";
}
