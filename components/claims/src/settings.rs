//! Settings of the claims and the conditions among them.

use derive::value;
use quick_error::quick_error;

quick_error! {
    /// Why settings would not keep the promise.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum SettingsError {
        /// The log could forget a claim while its key lives.
        LifetimeOverRetention(needed_ms: u64, retention_ms: u64) {
            display("keys need the log to keep records for {} ms, it keeps them for {} ms", needed_ms, retention_ms)
        }
        /// A holder could start after its key's lifetime.
        StartOverLifetime(start_within_ms: u64, key_lifetime_ms: u64) {
            display("a start within {} ms is too late for keys that live {} ms", start_within_ms, key_lifetime_ms)
        }
        /// No shard at all, or more than a stream name can number.
        Shards(shards: u16) {
            display("{} shards are not possible: 1 to 100 are", shards)
        }
    }
}

/// Settings of claims. The number of shards must be the same everywhere, or two entries
/// look for one key in two streams.
#[value]
#[derive(Copy)]
pub struct ClaimSettings {
    /// Streams that the claims are spread over.
    pub shards: u16,
    /// How long a key is remembered after its newest claim, in milliseconds.
    pub key_lifetime_ms: u64,
    /// Longest time from making a claim to handing the call over, in milliseconds.
    pub start_within_ms: u64,
    /// How long an append or a verdict may take until the claim is sent again.
    pub retry_interval_ms: u64,
    /// When a caller may come back while the key's call runs, in milliseconds.
    pub running_retry_after_ms: u32,
    /// When a caller may come back after the log was not to be had, in milliseconds.
    pub outage_retry_after_ms: u32,
    /// Largest answer that is recorded, in bytes of its body.
    pub answer_bytes_max: usize,
    /// Time between two appends of a writer to one shard in the long run, in milliseconds.
    pub flush_every_ms: u64,
    /// Appends of a writer to one shard that may follow each other without that time.
    pub flush_burst: u64,
    /// Most records in one append.
    pub batch_records_max: usize,
    /// Most bytes in one append, unless one record alone has more.
    pub batch_bytes_max: usize,
    /// Most records that wait for an append to one shard.
    pub waiting_max: usize,
    /// Most keys that a reader holds of one shard.
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
    /// Checks the settings against the time for which the log keeps records.
    pub fn check(&self, retention_ms: u64) -> Result<(), SettingsError> {
        if !(1..=100).contains(&self.shards) {
            return Err(SettingsError::Shards(self.shards));
        }
        if self.start_within_ms.saturating_mul(2) > self.key_lifetime_ms {
            let (start_ms, lifetime_ms) = (self.start_within_ms, self.key_lifetime_ms);
            return Err(SettingsError::StartOverLifetime(start_ms, lifetime_ms));
        }
        // A claim is appended up to `start_within_ms` after a writer got it, and a writer
        // gets it up to `start_within_ms` after it was made.
        let needed_ms = self.key_lifetime_ms + 2 * self.start_within_ms;
        if needed_ms > retention_ms {
            return Err(SettingsError::LifetimeOverRetention(
                needed_ms,
                retention_ms,
            ));
        }
        Ok(())
    }

    /// How long a release is remembered whose claim was not read yet. A writer drops a
    /// claim that has waited for `start_within_ms`, and it got it within that time.
    pub(crate) fn release_lag_ms(&self) -> u64 {
        4 * self.start_within_ms
    }

    /// Most appends a second of all claims together, whatever the load, while each shard
    /// has one writer: `shards × 1000 / flush_every_ms`, and `flush_burst` more of each
    /// shard now and then. Each further writer of a shard, while views of the live entries
    /// differ, adds one shard's part.
    ///
    /// At the same bound, few shards with short intervals make a record wait less than
    /// many with long ones: the wait is up to one interval.
    pub fn appends_per_s_max(&self) -> u64 {
        u64::from(self.shards) * 1_000 / self.flush_every_ms.max(1)
    }
}
