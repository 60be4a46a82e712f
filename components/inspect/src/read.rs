//! Reads the records of the store and converts them to rows.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use dispatch::Replica;
use index::{INDEX_PARTITION, INDEX_TOPIC, Index, RUNNER_GROUP, USAGE_TOPIC, decode_usage};
use lease::{Lease, LeaseSettings};
use ownership::shard_partition;
use platform::records::{
    self, OPERATOR_TOPIC, OperatorRecord, REPLICA_TOPIC, RecordError, parse_operator_record,
};
use platform::store::{Store, StoreError};
use quick_error::quick_error;
use usage::UsageLedger;

use crate::rows::{
    CustomerRow, DutyRow, KnowledgeRow, LeaseRow, ReplicaRow, RouteRow, ShardRow, StepRow,
    UsageRow, VersionRow, customer_rows,
};

/// Timeout of one call to the store. An operator waits for the result; a slow store answers within
/// 240 ms.
const CALL_TIMEOUT_MS: u64 = 3_000;
/// Maximum size of one read of a log, in KiB.
const READ_KB: u32 = 1_024;

quick_error! {
    /// Reason why the contents of the store cannot be shown.
    #[derive(Debug)]
    pub enum InspectError {
        /// A call to the store failed.
        Store(reason: StoreError) {
            source(reason)
            from()
            display("cannot read the store: {}", reason)
        }
        /// The record of the configuration or of a named version is malformed.
        Record(reason: RecordError) {
            source(reason)
            from()
            display("{}", reason)
        }
    }
}

/// Reads one store.
pub struct Inspector {
    store: Store,
}

impl Inspector {
    /// Creates an inspector for the store at `address`; connects at the first read.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            store: Store::new(address),
        }
    }

    /// Reads the active configuration: its version, and its routes sorted by host and prefix.
    /// Returns version 0 without routes if the store has no configuration.
    pub async fn routes(&self) -> Result<(u64, Vec<RouteRow>), InspectError> {
        let mut configuration = (0, Vec::new());
        for record in self.operator_records().await? {
            if let OperatorRecord::Routes(routes) = record {
                let rows = routes.sorted().into_iter().map(RouteRow::from);
                configuration = (routes.version, rows.collect());
            }
        }
        Ok(configuration)
    }

    /// Reads the customers of the active configuration, sorted by name.
    pub async fn customers(&self) -> Result<Vec<CustomerRow>, InspectError> {
        let mut rows = Vec::new();
        for record in self.operator_records().await? {
            if let OperatorRecord::Routes(routes) = record {
                rows = customer_rows(&routes.customers);
            }
        }
        let index = self.index().await?;
        for row in &mut rows {
            let steps = index.ledger.steps();
            let submitted =
                steps.filter(|step| step.head.customer.as_deref() == Some(&row.customer));
            row.steps = submitted.count();
        }
        Ok(rows)
    }

    /// Reads the windows of usage that the store still has, oldest first.
    pub async fn usage(&self) -> Result<Vec<UsageRow>, InspectError> {
        let usage = self.usage_ledger().await?;
        let rows = usage.windows().map(|window| UsageRow {
            window: window.window.0,
            state: match (window.reported, window.sealed) {
                (true, _) => "reported",
                (false, true) => "sealed",
                (false, false) => "open",
            },
            requests: window.counts.values().sum(),
            customers: window
                .counts
                .iter()
                .map(|(customer, requests)| (customer.clone(), *requests))
                .collect(),
        });
        Ok(rows.collect())
    }

    /// Reads the duties towards the platform and the VMs that perform them.
    pub async fn duties(&self) -> Result<Vec<DutyRow>, InspectError> {
        let index = self.index().await?;
        let (holder, fence) = index.lease.holder().unzip();
        let usage = self.usage_ledger().await?;
        let reported = usage.windows().filter(|window| window.reported);
        let unreported = usage.windows();
        let unreported = unreported.filter(|window| window.sealed && !window.reported);
        Ok(vec![DutyRow {
            duty: "usage",
            holder: holder.flatten().map(str::to_owned),
            fence,
            reported: reported.map(|window| window.window.0).max(),
            waiting: unreported.map(|window| window.window.0).collect(),
        }])
    }

    /// Reads the newest named version of each model, sorted by model.
    pub async fn versions(&self) -> Result<Vec<VersionRow>, InspectError> {
        let mut named: BTreeMap<String, u64> = BTreeMap::new();
        for record in self.operator_records().await? {
            if let OperatorRecord::VersionNamed { model, version } = record {
                named.insert(model.to_string(), version);
            }
        }
        let replicas = self.replica_records().await?;
        let holds = |replica: &Replica, model: &str, version| {
            let mut models = replica.models.iter();
            models.any(|(name, held)| **name == *model && *held == version)
        };
        let row = |(model, version): (String, u64)| VersionRow {
            replicas: replicas
                .iter()
                .filter(|replica| holds(replica, &model, version))
                .count(),
            model,
            version,
        };
        Ok(named.into_iter().map(row).collect())
    }

    /// Reads the records that the replicas write about themselves.
    pub async fn replicas(&self) -> Result<Vec<ReplicaRow>, InspectError> {
        let replicas = self.replica_records().await?;
        Ok(replicas.iter().map(ReplicaRow::from).collect())
    }

    /// Reads the steps that the index still has, oldest first.
    pub async fn steps(&self) -> Result<Vec<StepRow>, InspectError> {
        let index = self.index().await?;
        Ok(index.ledger.steps().map(StepRow::from).collect())
    }

    /// Reads the shards of open steps, and those with a record of their owner's knowledge, with the
    /// fronts that run them. `now_unix_ms` is the time that the ages of records are relative to.
    pub async fn shards(&self, now_unix_ms: u64) -> Result<Vec<ShardRow>, InspectError> {
        let index = self.index().await?;
        let owners = self.store.owners(RUNNER_GROUP, call_timeout()).await?;
        let owners: BTreeMap<u32, String> = owners.into_iter().collect();
        // Every partition has an owner as long as the group has a member, so the highest partition
        // with an owner gives the number of partitions.
        let partitions = owners.keys().next_back().map_or(1, |last| last + 1);
        let mut open_items: BTreeMap<(String, u16), usize> = BTreeMap::new();
        for step in index.ledger.steps().filter(|step| step.is_open()) {
            for (item, progress) in (0..).zip(&step.progress) {
                let shard = (step.head.pool.clone(), step.shard(item));
                *open_items.entry(shard).or_default() += usize::from(!progress.listed);
            }
        }
        for newest in index.shards.iter() {
            let shard = (newest.record.pool.clone(), newest.record.shard);
            open_items.entry(shard).or_default();
        }
        let row = |((pool, shard), items_open): ((String, u16), usize)| {
            let partition = shard_partition(&pool, shard, partitions);
            let newest = index.shards.newest(&pool, shard);
            ShardRow {
                knowledge: newest.map(|newest| KnowledgeRow::new(&newest.record, now_unix_ms)),
                front: owners.get(&partition).cloned(),
                pool,
                shard,
                items_open,
            }
        };
        Ok(open_items.into_iter().map(row).collect())
    }

    /// Reads the holder of the lease for orders to replicas.
    pub async fn lease(&self) -> Result<LeaseRow, InspectError> {
        let index = self.index().await?;
        let (holder, fence) = index.lease.holder().unzip();
        Ok(LeaseRow {
            holder: holder.flatten().map(str::to_owned),
            fence,
        })
    }

    /// Reads the usage log, as far as the store still has it.
    async fn usage_ledger(&self) -> Result<UsageLedger, InspectError> {
        let mut usage = UsageLedger::default();
        self.read_log(USAGE_TOPIC, |page| {
            let LogPage::Records(from, records) = page else {
                return;
            };
            for (offset, record) in (from..).zip(records) {
                match decode_usage(record) {
                    Ok(record) => drop(usage.apply(record)),
                    Err(error) => log::warn!(
                        event = "record-malformed", topic = USAGE_TOPIC, offset, error:% = error; ""
                    ),
                }
            }
        })
        .await?;
        Ok(usage)
    }

    /// Records of the operator and of trainers. A malformed configuration is an error; other malformed
    /// records are left out.
    async fn operator_records(&self) -> Result<Vec<OperatorRecord>, InspectError> {
        let newest = self.store.newest(OPERATOR_TOPIC, call_timeout()).await?;
        let mut decoded = Vec::with_capacity(newest.records.len());
        for record in newest.records {
            match parse_operator_record(&record.key, &record.value) {
                Ok(record) => decoded.push(record),
                Err(error) if records::is_config(&record.key) => return Err(error.into()),
                Err(error) => log::warn!(
                    event = "record-malformed", topic = OPERATOR_TOPIC, error:% = error; ""
                ),
            }
        }
        Ok(decoded)
    }

    async fn replica_records(&self) -> Result<Vec<Replica>, InspectError> {
        let newest = self
            .store
            .newest(REPLICA_TOPIC, call_timeout())
            .await?
            .records;
        let mut replicas = Vec::with_capacity(newest.len());
        for record in newest {
            match records::parse_replica_record(&record.key, &record.value) {
                Ok(replica) => replicas.push(replica),
                Err(error) => {
                    log::warn!(event = "record-malformed", topic = REPLICA_TOPIC, error:% = error; "")
                }
            }
        }
        Ok(replicas)
    }

    /// Reads the whole index, as far as the store still has it.
    async fn index(&self) -> Result<Index, InspectError> {
        // This process never acquires the lease or gives orders, so the pause between the orders of
        // two holders is irrelevant.
        let mut index = Index::new(Lease::new("", 0, LeaseSettings::with_pause(0)));
        self.read_log(INDEX_TOPIC, |page| match page {
            LogPage::Records(from, records) => {
                index.apply(from, records, 0, |offset, error| {
                    log::warn!(event = "record-malformed", topic = INDEX_TOPIC, offset, error:% = error; "");
                });
            }
            LogPage::Trimmed => index.mark_gap(0),
        })
        .await?;
        Ok(index)
    }

    /// Reads the only partition of a log to its end and passes every page to `handle`.
    async fn read_log(
        &self,
        topic: &str,
        mut handle: impl FnMut(LogPage<'_>),
    ) -> Result<(), InspectError> {
        let mut next = 0;
        loop {
            let page = self
                .store
                .read(topic, INDEX_PARTITION, next, READ_KB, 0, call_timeout())
                .await;
            match page {
                Ok(page) => {
                    handle(LogPage::Records(next, &page.records));
                    next += page.records.len() as u64;
                    if next >= page.end || page.records.is_empty() {
                        return Ok(());
                    }
                }
                Err(StoreError::Gone(first)) => {
                    handle(LogPage::Trimmed);
                    next = first;
                }
                Err(error) => return Err(error.into()),
            }
        }
    }
}

/// Result of one read of a log.
enum LogPage<'a> {
    /// Offset of the first record, and the records.
    Records(u64, &'a [Bytes]),
    /// The store has removed the records at the requested offset; the next page starts at the
    /// oldest record that is left.
    Trimmed,
}

fn call_timeout() -> Duration {
    Duration::from_millis(CALL_TIMEOUT_MS)
}
