//! Reading of the store.

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
    CustomerRow, DutyRow, LeaseRow, ReplicaRow, RouteRow, ShardRow, StepRow, UsageRow, VersionRow,
    customer_rows,
};

/// Longest time of one call, in milliseconds: an operator waits, and a slow store takes 240.
const CALL_MS: u64 = 3_000;
/// Kibibytes of one read of the index.
const READ_KB: u32 = 1_024;

quick_error! {
    /// Why nothing can be shown.
    #[derive(Debug)]
    pub enum InspectError {
        /// The store does not give it.
        Store(reason: StoreError) {
            source(reason)
            from()
            display("cannot read the store: {}", reason)
        }
        /// The configuration's record can't be read.
        Record(reason: RecordError) {
            source(reason)
            from()
            display("{}", reason)
        }
    }
}

/// Reads a store.
pub struct Inspector {
    store: Store,
}

impl Inspector {
    /// Reads the store at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            store: Store::new(address),
        }
    }

    /// The configuration in force: its version and its routes, by host and prefix.
    pub async fn routes(&self) -> Result<(u64, Vec<RouteRow>), InspectError> {
        let (newest, _) = self.store.newest(OPERATOR_TOPIC, within()).await?;
        let mut found = (0, Vec::new());
        for record in newest {
            if let OperatorRecord::Routes(routes) =
                parse_operator_record(&record.key, &record.value)?
            {
                let rows = routes.sorted().into_iter().map(RouteRow::from);
                found = (routes.version, rows.collect());
            }
        }
        Ok(found)
    }

    /// Customers in force, by name.
    pub async fn customers(&self) -> Result<Vec<CustomerRow>, InspectError> {
        let (newest, _) = self.store.newest(OPERATOR_TOPIC, within()).await?;
        let mut rows = Vec::new();
        for record in newest {
            if let OperatorRecord::Routes(routes) =
                parse_operator_record(&record.key, &record.value)?
            {
                rows = customer_rows(&routes.customers);
            }
        }
        let index = self.index().await?;
        for row in &mut rows {
            let steps = index.ledger.steps();
            let own = steps.filter(|step| step.head.customer.as_deref() == Some(&row.customer));
            row.steps = own.count();
        }
        Ok(rows)
    }

    /// Windows of usage that the index still has, oldest first.
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

    /// Duties towards the platform, and who does them.
    pub async fn duties(&self) -> Result<Vec<DutyRow>, InspectError> {
        let index = self.index().await?;
        let (holder, fence) = index.lease.holder().unzip();
        let usage = self.usage_ledger().await?;
        let reported = usage.windows().filter(|window| window.reported);
        let waiting = usage.windows();
        let waiting = waiting.filter(|window| window.sealed && !window.reported);
        Ok(vec![DutyRow {
            duty: "usage",
            holder: holder.flatten().map(str::to_owned),
            fence,
            reported: reported.map(|window| window.window.0).max(),
            waiting: waiting.map(|window| window.window.0).collect(),
        }])
    }

    /// Newest named versions, by model.
    pub async fn versions(&self) -> Result<Vec<VersionRow>, InspectError> {
        let (newest, _) = self.store.newest(OPERATOR_TOPIC, within()).await?;
        let mut named: BTreeMap<String, u64> = BTreeMap::new();
        for record in newest {
            if let OperatorRecord::VersionNamed { model, version } =
                parse_operator_record(&record.key, &record.value)?
            {
                named.insert(model.to_string(), version);
            }
        }
        let replicas = self.replica_records().await?;
        let holds = |replica: &Replica, model: &str, version| {
            let mut models = replica.models.iter();
            models.any(|(held, at)| **held == *model && *at == version)
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

    /// Replicas by their own records.
    pub async fn replicas(&self) -> Result<Vec<ReplicaRow>, InspectError> {
        let replicas = self.replica_records().await?;
        Ok(replicas.iter().map(ReplicaRow::from).collect())
    }

    /// Steps that the index still has, oldest first.
    pub async fn steps(&self) -> Result<Vec<StepRow>, InspectError> {
        let index = self.index().await?;
        Ok(index.ledger.steps().map(StepRow::from).collect())
    }

    /// Shards that have items to run, and the fronts that run them.
    pub async fn shards(&self) -> Result<Vec<ShardRow>, InspectError> {
        let index = self.index().await?;
        let owners = self.store.owners(RUNNER_GROUP, within()).await?;
        let owners: BTreeMap<u32, String> = owners.into_iter().collect();
        // Every partition has an owner as long as there is a member.
        let partitions = owners.keys().next_back().map_or(1, |last| last + 1);
        let mut open: BTreeMap<(String, u16), usize> = BTreeMap::new();
        for step in index.ledger.steps().filter(|step| step.is_open()) {
            for (item, progress) in (0..).zip(&step.progress) {
                let shard = (step.head.pool.clone(), step.shard(item));
                *open.entry(shard).or_default() += usize::from(!progress.listed);
            }
        }
        let row = |((pool, shard), items_open): ((String, u16), usize)| {
            let partition = shard_partition(&pool, shard, partitions);
            ShardRow {
                front: owners.get(&partition).cloned(),
                pool,
                shard,
                items_open,
            }
        };
        Ok(open.into_iter().map(row).collect())
    }

    /// Who gives orders to replicas.
    pub async fn lease(&self) -> Result<LeaseRow, InspectError> {
        let index = self.index().await?;
        let (holder, fence) = index.lease.holder().unzip();
        Ok(LeaseRow {
            holder: holder.flatten().map(str::to_owned),
            fence,
        })
    }

    /// The log of usage, as far as the store still has it.
    async fn usage_ledger(&self) -> Result<UsageLedger, InspectError> {
        let mut usage = UsageLedger::default();
        self.read_whole(USAGE_TOPIC, |read| {
            let Read::Records(from, records) = read else {
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

    async fn replica_records(&self) -> Result<Vec<Replica>, InspectError> {
        let (newest, _) = self.store.newest(REPLICA_TOPIC, within()).await?;
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

    /// The whole index, as far as the store still has it.
    async fn index(&self) -> Result<Index, InspectError> {
        // Nobody waits for this reader to give orders; the pause plays no part.
        let mut index = Index::new(Lease::new("", 0, LeaseSettings::with_pause(0)));
        self.read_whole(INDEX_TOPIC, |read| match read {
            Read::Records(from, records) => {
                index.apply(from, records, 0, |offset, error| {
                    log::warn!(event = "record-malformed", topic = INDEX_TOPIC, offset, error:% = error; "");
                });
            }
            Read::Gone => index.mark_gap(0),
        })
        .await?;
        Ok(index)
    }

    /// Reads the one partition of a log to its end.
    async fn read_whole(
        &self,
        topic: &str,
        mut take: impl FnMut(Read<'_>),
    ) -> Result<(), InspectError> {
        let mut next = 0;
        loop {
            let page = self
                .store
                .read(topic, INDEX_PARTITION, next, READ_KB, 0, within())
                .await;
            match page {
                Ok(page) => {
                    take(Read::Records(next, &page.records));
                    next += page.records.len() as u64;
                    if next >= page.end || page.records.is_empty() {
                        return Ok(());
                    }
                }
                Err(StoreError::Gone(first)) => {
                    take(Read::Gone);
                    next = first;
                }
                Err(error) => return Err(error.into()),
            }
        }
    }
}

/// What a read of a log brought.
enum Read<'a> {
    /// Records from an offset on.
    Records(u64, &'a [Bytes]),
    /// Earlier records are gone.
    Gone,
}

fn within() -> Duration {
    Duration::from_millis(CALL_MS)
}
