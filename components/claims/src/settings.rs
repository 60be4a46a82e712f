//! Settings of the claims and the consistency conditions between them.

use derive::value;
use quick_error::quick_error;

quick_error! {
    /// Why the settings would not guarantee that a keyed call runs at most once.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum SettingsError {
        /// The log could remove a claim while its key is still live.
        LifetimeOverRetention(needed_ms: u64, retention_ms: u64) {
            display("the key lifetime needs a log retention of {} ms, but the log keeps records for {} ms", needed_ms, retention_ms)
        }
        /// A holder could start a call after its key's lifetime.
        StartOverLifetime(start_within_ms: u64, key_lifetime_ms: u64) {
            display("a call may start up to {} ms after its claim, which is more than half of the key lifetime of {} ms", start_within_ms, key_lifetime_ms)
        }
        /// There are no shards, or more than a stream name can number.
        Shards(shards: u16) {
            display("invalid number of claim shards: got {}, allowed are 1 to 100", shards)
        }
    }
}

/// Settings of claims. All entries must use the same number of shards; otherwise two entries would
/// look for one key in two streams.
#[value]
#[derive(Copy)]
pub struct ClaimSettings {
    /// Number of streams that the claims are distributed over.
    pub shards: u16,
    /// How long a key is kept after its newest claim, in milliseconds.
    pub key_lifetime_ms: u64,
    /// Maximum time from creating a claim to handing the call over, in milliseconds.
    pub start_within_ms: u64,
    /// Time without a verdict after which the claim is sent to the next writer, in milliseconds.
    pub retry_interval_ms: u64,
    /// Retry delay for callers while the key's call is running, in milliseconds.
    pub running_retry_after_ms: u32,
    /// Retry delay for callers after the log was unavailable, in milliseconds.
    pub outage_retry_after_ms: u32,
    /// Maximum body size of a recorded answer, in bytes.
    pub answer_bytes_max: usize,
    /// Average time between two appends of a writer to one shard, in milliseconds.
    pub flush_every_ms: u64,
    /// Number of appends of a writer to one shard that may follow each other immediately after a
    /// pause.
    pub flush_burst: u64,
    /// Maximum number of records per append.
    pub batch_records_max: usize,
    /// Maximum size of an append in bytes; a single larger record is appended alone.
    pub batch_bytes_max: usize,
    /// Maximum number of records that are queued for appends to one shard.
    pub waiting_max: usize,
    /// Maximum number of keys that a reader holds for one shard.
    pub keys_max: usize,
}

impl Default for ClaimSettings {
    fn default() -> Self {
        Self {
            shards: 4,
            key_lifetime_ms: 3_600_000,
            start_within_ms: 5_000,
            retry_interval_ms: 1_000,
            running_retry_after_ms: 500,
            outage_retry_after_ms: 2_000,
            answer_bytes_max: 16 * 1_024,
            flush_every_ms: 25,
            flush_burst: 8,
            batch_records_max: 64,
            batch_bytes_max: 64 * 1_024,
            waiting_max: 1_024,
            keys_max: 800_000,
        }
    }
}

impl ClaimSettings {
    /// Checks the settings against the log's retention.
    pub fn check(&self, retention_ms: u64) -> Result<(), SettingsError> {
        if !(1..=100).contains(&self.shards) {
            return Err(SettingsError::Shards(self.shards));
        }
        if self.start_within_ms.saturating_mul(2) > self.key_lifetime_ms {
            let (start_ms, lifetime_ms) = (self.start_within_ms, self.key_lifetime_ms);
            return Err(SettingsError::StartOverLifetime(start_ms, lifetime_ms));
        }
        // A writer receives a claim up to `start_within_ms` after the claim was created, and
        // appends it up to `start_within_ms` later.
        let needed_ms = self.key_lifetime_ms + 2 * self.start_within_ms;
        if needed_ms > retention_ms {
            return Err(SettingsError::LifetimeOverRetention(
                needed_ms,
                retention_ms,
            ));
        }
        Ok(())
    }

    /// How long a reader remembers a release whose claim it has not read. A writer receives the
    /// claim within `start_within_ms` of its creation and drops it if it has been queued for longer
    /// than that.
    pub(crate) fn release_lag_ms(&self) -> u64 {
        4 * self.start_within_ms
    }

    /// Maximum appends per second of all claims together, regardless of load, while each shard has
    /// one writer: `shards × 1000 / flush_every_ms`, plus occasional bursts of `flush_burst` per
    /// shard. While entries disagree about which of them are live, each additional writer of a
    /// shard adds the share of one shard.
    ///
    /// For the same maximum, few shards with short intervals delay records less than many shards
    /// with long intervals, because a record waits up to one interval.
    pub fn appends_per_s_max(&self) -> u64 {
        u64::from(self.shards) * 1_000 / self.flush_every_ms.max(1)
    }
}
