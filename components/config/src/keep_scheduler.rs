//! Decides when this process appends current versions again, before the log's retention removes
//! them.
//!
//! Every process has a rank per customer, assigned by the caller, for example by rendezvous hashing
//! over the live entries. Rank 0 appends a record once it is old enough; each further rank waits
//! one `rank_delay_ms` longer. A record that is read back restarts the interval, so normally one
//! process appends, and a dead process is replaced without coordination. Two appends of the same
//! version cost one extra record and do no other harm.

use std::collections::HashMap;

use derive::key;
use types::CustomerName;

use crate::{Ledger, Record};

/// Intervals for appending records again, measured on the process's monotonic clock.
#[key]
pub struct KeepSettings {
    /// Age at which rank 0 appends a record again, in milliseconds.
    pub interval_ms: u64,
    /// Additional delay of each further rank, in milliseconds.
    pub rank_delay_ms: u64,
    /// Number of ranks that append; processes with this rank or a higher one never do.
    pub ranks: u32,
    /// Maximum time since the end of the log was read, in milliseconds; when it is longer, nothing
    /// is appended.
    pub end_read_age_ms_max: u64,
    /// Maximum number of records per call of [`KeepScheduler::due_records`].
    pub records_max: usize,
}

impl KeepSettings {
    /// Settings with which rank 0 appends at a quarter of the log's retention and the last rank
    /// before half of it.
    pub fn for_retention(retention_ms: u64) -> Self {
        const RANKS: u32 = 8;
        let interval_ms = retention_ms / 4;
        Self {
            interval_ms,
            rank_delay_ms: interval_ms / u64::from(RANKS),
            ranks: RANKS,
            end_read_age_ms_max: (interval_ms / 16).max(1_000),
            records_max: 16,
        }
    }
}

/// Newest record that was read about one customer or about the list of customers.
#[derive(Clone, Copy, Debug)]
struct SeenRecord {
    version: u64,
    /// When the record was read while it was new; `None` if its age is unknown.
    new_at_ms: Option<u64>,
    /// When this process last appended the record.
    appended_at_ms: Option<u64>,
}

/// Selects the records that this process has to append again.
#[derive(Clone, Debug)]
pub struct KeepScheduler {
    settings: KeepSettings,
    versions: HashMap<CustomerName, SeenRecord>,
    list: Option<SeenRecord>,
    read_at_ms: Option<u64>,
}

impl KeepScheduler {
    /// Creates a scheduler that has read no record yet.
    pub fn new(settings: KeepSettings) -> Self {
        Self {
            settings,
            versions: HashMap::new(),
            list: None,
            read_at_ms: None,
        }
    }

    /// Records that the end of the log was read at `now_ms`.
    pub fn on_end_read(&mut self, now_ms: u64) {
        self.read_at_ms = Some(now_ms);
    }

    /// Processes a record that the ledger has already applied. `is_new` is set if the record was
    /// appended while this process was waiting at the end of the log; otherwise its age is unknown.
    pub fn on_record(&mut self, ledger: &Ledger, record: &Record, is_new: bool, now_ms: u64) {
        let new_at_ms = is_new.then_some(now_ms);
        let record_state = |version| SeenRecord {
            version,
            new_at_ms,
            appended_at_ms: None,
        };
        let (customer, id, version) = match record {
            Record::Publish(publish) => (&publish.customer, &publish.id, publish.base + 1),
            // A keep record without `through` does not tell a new reader which version is current,
            // so it does not replace a complete one.
            Record::Keep(keep) if keep.through.is_some() || !ledger.is_certain(&keep.customer) => {
                (&keep.customer, &keep.id, keep.version)
            }
            Record::Customers(_) => {
                self.list = Some(record_state(0));
                return;
            }
            Record::Keep(_) | Record::Unknown => return,
        };
        let Some(current) = ledger.current(customer) else {
            return;
        };
        if current.version == version && current.id == *id {
            self.versions
                .insert(customer.clone(), record_state(version));
        }
    }

    /// Returns the records to append now, at most [`KeepSettings::records_max`]. `rank` returns
    /// this process's rank for a customer, or for the list of customers if the argument is `None`.
    ///
    /// A process that resumes after a pause finds every record old although other processes have
    /// appended them meanwhile. It must first read to the end of the log; otherwise all resumed
    /// processes would append everything at the same time.
    pub fn due_records(
        &mut self,
        ledger: &Ledger,
        now_ms: u64,
        rank: impl Fn(Option<&CustomerName>) -> Option<u32>,
    ) -> Vec<Record> {
        let age = |read_at_ms: u64| now_ms.saturating_sub(read_at_ms);
        if self
            .read_at_ms
            .is_none_or(|at| age(at) > self.settings.end_read_age_ms_max)
        {
            return Vec::new();
        }
        let mut records = Vec::new();
        if let Some(list) = self.due_list(ledger, now_ms, rank(None)) {
            records.push(list);
        }
        for accepted in ledger.all() {
            if records.len() >= self.settings.records_max {
                break;
            }
            let customer = &accepted.customer;
            let record_state = self.versions.get(customer).copied();
            let record_state =
                record_state.filter(|record_state| record_state.version == accepted.version);
            if !self.is_due(record_state, now_ms, rank(Some(customer))) {
                continue;
            }
            let record_state = self.with_append(record_state, accepted.version, now_ms);
            self.versions.insert(customer.clone(), record_state);
            records.extend(ledger.keep_record(customer).map(Record::Keep));
        }
        records
    }

    fn due_list(&mut self, ledger: &Ledger, now_ms: u64, rank: Option<u32>) -> Option<Record> {
        let list = ledger.customers_record()?;
        if !self.is_due(self.list, now_ms, rank) {
            return None;
        }
        self.list = Some(self.with_append(self.list, 0, now_ms));
        Some(Record::Customers(list))
    }

    fn with_append(
        &self,
        record_state: Option<SeenRecord>,
        version: u64,
        now_ms: u64,
    ) -> SeenRecord {
        SeenRecord {
            version,
            new_at_ms: record_state.and_then(|record_state| record_state.new_at_ms),
            appended_at_ms: Some(now_ms),
        }
    }

    fn is_due(&self, record_state: Option<SeenRecord>, now_ms: u64, rank: Option<u32>) -> bool {
        let Some(rank) = rank.filter(|&rank| rank < self.settings.ranks) else {
            return false;
        };
        let appended_at_ms = record_state.and_then(|record_state| record_state.appended_at_ms);
        let retry_due = |at: u64| now_ms >= at.saturating_add(self.settings.rank_delay_ms);
        if !appended_at_ms.is_none_or(retry_due) {
            return false;
        }
        // A record of unknown age may be close to the end of the retention, so it is due at once.
        let from_ms = match record_state.and_then(|record_state| record_state.new_at_ms) {
            Some(new_at_ms) => new_at_ms.saturating_add(self.settings.interval_ms),
            None => 0,
        };
        now_ms >= from_ms.saturating_add(u64::from(rank) * self.settings.rank_delay_ms)
    }
}
