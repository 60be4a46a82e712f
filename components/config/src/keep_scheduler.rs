//! When current versions have to be appended again, before the log forgets them.
//!
//! Every process has a rank for each customer (the caller's choice, such as rendezvous
//! hashing over the live entries). Rank 0 appends when a record is old enough, each
//! further rank one step later, and a record that is read back starts the time anew:
//! so one process appends, and a dead one is replaced without agreement. Two appends
//! of the same version cost a record and nothing else.

use std::collections::HashMap;

use derive::key;
use types::CustomerName;

use crate::{Ledger, Record};

/// Times for appending again, on the process's own monotonic clock.
#[key]
pub struct KeepSettings {
    /// Age at which rank 0 appends a record again.
    pub interval_ms: u64,
    /// How much later each further rank does so.
    pub rank_delay_ms: u64,
    /// Ranks from this one on never do.
    pub ranks: u32,
    /// How long ago the log's end must have been read at most.
    pub end_read_age_ms_max: u64,
    /// Most records in one go.
    pub records_max: usize,
}

impl KeepSettings {
    /// Appends at a quarter of the log's retention, with all ranks by half of it.
    pub fn for_retention(retention_ms: u64) -> Self {
        const RANKS: u32 = 8;
        let every_ms = retention_ms / 4;
        Self {
            interval_ms: every_ms,
            rank_delay_ms: every_ms / u64::from(RANKS),
            ranks: RANKS,
            end_read_age_ms_max: (every_ms / 16).max(1_000),
            records_max: 16,
        }
    }
}

/// What the log has of one customer, or of the list of customers.
#[derive(Clone, Copy, Debug)]
struct SeenRecord {
    version: u64,
    /// When the record was known to be new; `None` for one of unknown age.
    new_at_ms: Option<u64>,
    /// When this process last appended it.
    appended_at_ms: Option<u64>,
}

/// Decides when this process appends which records again.
#[derive(Clone, Debug)]
pub struct KeepScheduler {
    policy: KeepSettings,
    versions: HashMap<CustomerName, SeenRecord>,
    list: Option<SeenRecord>,
    read_at_ms: Option<u64>,
}

impl KeepScheduler {
    /// A keeper that has seen nothing yet.
    pub fn new(policy: KeepSettings) -> Self {
        Self {
            policy,
            versions: HashMap::new(),
            list: None,
            read_at_ms: None,
        }
    }

    /// Says that the log's end was read now.
    pub fn on_end_read(&mut self, now_ms: u64) {
        self.read_at_ms = Some(now_ms);
    }

    /// Takes in a record after the ledger has. `is_new` if it was appended while this
    /// process was waiting at the log's end; else its age is not known.
    pub fn on_record(&mut self, ledger: &Ledger, record: &Record, is_new: bool, now_ms: u64) {
        let new_at_ms = is_new.then_some(now_ms);
        let seen = |version| SeenRecord {
            version,
            new_at_ms,
            appended_at_ms: None,
        };
        let (customer, id, version) = match record {
            Record::Publish(publish) => (&publish.customer, &publish.id, publish.base + 1),
            // One without `through` does not tell a new reader what is current.
            Record::Keep(keep) if keep.through.is_some() || !ledger.is_certain(&keep.customer) => {
                (&keep.customer, &keep.id, keep.version)
            }
            Record::Customers(_) => {
                self.list = Some(seen(0));
                return;
            }
            Record::Keep(_) | Record::Unknown => return,
        };
        let Some(current) = ledger.current(customer) else {
            return;
        };
        if current.version == version && current.id == *id {
            self.versions.insert(customer.clone(), seen(version));
        }
    }

    /// The records to append now, at most [`KeepPolicy::records_max`]. `rank` gives this
    /// process's rank for a customer, or for the list with `None`.
    ///
    /// A process that was frozen finds every record old when it wakes, though others
    /// have appended them long ago. It first has to read the log's end again; without
    /// that all woken processes would append everything at once.
    pub fn due_records(
        &mut self,
        ledger: &Ledger,
        now_ms: u64,
        rank: impl Fn(Option<&CustomerName>) -> Option<u32>,
    ) -> Vec<Record> {
        let age = |read_at_ms: u64| now_ms.saturating_sub(read_at_ms);
        if self
            .read_at_ms
            .is_none_or(|at| age(at) > self.policy.end_read_age_ms_max)
        {
            return Vec::new();
        }
        let mut records = Vec::new();
        if let Some(list) = self.due_list(ledger, now_ms, rank(None)) {
            records.push(list);
        }
        for accepted in ledger.all() {
            if records.len() >= self.policy.records_max {
                break;
            }
            let customer = &accepted.customer;
            let seen = self.versions.get(customer).copied();
            let seen = seen.filter(|seen| seen.version == accepted.version);
            if !self.is_due(seen, now_ms, rank(Some(customer))) {
                continue;
            }
            let seen = self.with_append(seen, accepted.version, now_ms);
            self.versions.insert(customer.clone(), seen);
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

    fn with_append(&self, seen: Option<SeenRecord>, version: u64, now_ms: u64) -> SeenRecord {
        SeenRecord {
            version,
            new_at_ms: seen.and_then(|seen| seen.new_at_ms),
            appended_at_ms: Some(now_ms),
        }
    }

    fn is_due(&self, seen: Option<SeenRecord>, now_ms: u64, rank: Option<u32>) -> bool {
        let Some(rank) = rank.filter(|&rank| rank < self.policy.ranks) else {
            return false;
        };
        let appended_at_ms = seen.and_then(|seen| seen.appended_at_ms);
        let again = |at: u64| now_ms >= at.saturating_add(self.policy.rank_delay_ms);
        if !appended_at_ms.is_none_or(again) {
            return false;
        }
        // A record of unknown age may be the last before the log forgets it.
        let from_ms = match seen.and_then(|seen| seen.new_at_ms) {
            Some(new_at_ms) => new_at_ms.saturating_add(self.policy.interval_ms),
            None => 0,
        };
        now_ms >= from_ms.saturating_add(u64::from(rank) * self.policy.rank_delay_ms)
    }
}
