//! Counts of calls to the store by topic: the load that this front puts on the shared store.

use std::fmt::Write;
use std::sync::atomic::{AtomicU64, Ordering};

use index::{DATA_TOPIC, INDEX_TOPIC, USAGE_TOPIC};
use platform::records::{OPERATOR_TOPIC, REPLICA_TOPIC};
use platform::store::StoreError;
use relay::FRONTS_TOPIC;

/// Label of calls that concern the group of fronts; takes the place of a topic.
pub const GROUP: &str = "group";
/// Topics that are counted separately.
const TOPICS: [&str; 7] = [
    INDEX_TOPIC,
    DATA_TOPIC,
    USAGE_TOPIC,
    OPERATOR_TOPIC,
    REPLICA_TOPIC,
    FRONTS_TOPIC,
    GROUP,
];

/// Counts of one topic.
#[derive(Debug, Default)]
pub struct TopicCalls {
    reads: AtomicU64,
    appends: AtomicU64,
    records: AtomicU64,
    bytes: AtomicU64,
    throttled: AtomicU64,
    failed: AtomicU64,
}

impl TopicCalls {
    /// Counts a read or a call about the group.
    pub fn count_read(&self) {
        self.reads.fetch_add(1, Ordering::Relaxed);
    }

    pub fn count_append(&self) {
        self.appends.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts records that a read returned, and their bytes.
    pub fn count_records<'a>(&self, read: impl Iterator<Item = &'a [u8]>) {
        let (mut records, mut bytes) = (0, 0);
        for record in read {
            records += 1;
            bytes += record.len() as u64;
        }
        self.records.fetch_add(records, Ordering::Relaxed);
        self.bytes.fetch_add(bytes, Ordering::Relaxed);
    }

    /// Counts a failed call, with throttled calls apart from other errors.
    pub fn count_error(&self, error: &StoreError) {
        let counter = match error {
            StoreError::Throttled(_) => &self.throttled,
            _ => &self.failed,
        };
        counter.fetch_add(1, Ordering::Relaxed);
    }

    fn rows(&self) -> [(&'static str, u64); 6] {
        let row = |name, counter: &AtomicU64| (name, counter.load(Ordering::Relaxed));
        [
            row("front_store_reads_total", &self.reads),
            row("front_store_appends_total", &self.appends),
            row("front_store_records_total", &self.records),
            row("front_store_bytes_total", &self.bytes),
            row("front_store_throttled_total", &self.throttled),
            row("front_store_failed_total", &self.failed),
        ]
    }
}

/// Counts of all topics.
#[derive(Debug, Default)]
pub struct StoreCalls([TopicCalls; TOPICS.len()]);

impl StoreCalls {
    /// Counts of a topic. Unknown topics are counted with [`GROUP`].
    pub fn of(&self, topic: &str) -> &TopicCalls {
        let known = TOPICS.iter().position(|known| *known == topic);
        &self.0[known.unwrap_or(TOPICS.len() - 1)]
    }

    /// One line per series, for the metrics page.
    pub fn text(&self) -> String {
        let mut text = String::new();
        for (topic, calls) in TOPICS.iter().zip(&self.0) {
            for (name, count) in calls.rows() {
                // Writing to a `String` never fails.
                let _ = writeln!(text, "{name}{{topic=\"{topic}\"}} count={count}");
            }
        }
        text
    }

    /// Logs one line per topic with at least one call.
    pub fn log(&self) {
        for (topic, calls) in TOPICS.iter().zip(&self.0) {
            let [reads, appends, records, bytes, throttled, failed] =
                calls.rows().map(|(_, count)| count);
            if reads + appends > 0 {
                log::info!(
                    event = "store-calls", topic, reads, appends, records, bytes, throttled,
                    failed; ""
                );
            }
        }
    }
}
