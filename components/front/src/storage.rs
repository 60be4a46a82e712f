//! The platform's store as the tasks of a front use it: one client, whose calls tell each
//! other when the store is back.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use index::DATA_TOPIC;
use platform::store::{KeyedRecord, Membership, Page, Store, StoreError};
use reach::{Reach, Sign};

use crate::clock::now_ms;
use crate::store_calls::{GROUP, StoreCalls, TopicCalls};

/// Where a read goes on, and how much it brings.
pub struct ReadRequest<'a> {
    /// Topic.
    pub topic: &'a str,
    /// Its partition.
    pub partition: u32,
    /// First offset.
    pub offset: u64,
    /// Most kibibytes.
    pub max_kb: u32,
    /// How long the read may wait for a record, in milliseconds.
    pub wait_ms: u64,
}

/// Records of the data topic from an offset on; data is there when its place is known.
pub fn data_read(partition: u32, offset: u64, max_kb: u32) -> ReadRequest<'static> {
    ReadRequest {
        topic: DATA_TOPIC,
        partition,
        offset,
        max_kb,
        wait_ms: 0,
    }
}

/// The store and whether it is within reach.
pub struct Storage {
    store: Store,
    reach: Reach,
    /// Calls by topic.
    pub calls: StoreCalls,
    /// When anything was heard of the store last, in milliseconds.
    heard_ms: AtomicU64,
}

impl Storage {
    /// A client of the store at `address`; connects when it is first used.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            store: Store::new(address),
            reach: Reach::default(),
            calls: StoreCalls::default(),
            heard_ms: AtomicU64::new(now_ms()),
        }
    }

    /// Goes to another address from the next call on; true if it is another one.
    pub fn move_to(&self, address: SocketAddr) -> bool {
        self.store.move_to(address)
    }

    /// How often the store was lost and came back.
    pub fn recoveries(&self) -> u64 {
        self.reach.returns()
    }

    /// Whether the last call that ended found the store out of reach.
    pub fn is_lost(&self) -> bool {
        self.reach.is_lost()
    }

    /// How long nothing was heard of the store, in milliseconds: no answer, not even a refusal.
    pub fn silent_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.heard_ms.load(Ordering::Relaxed))
    }

    /// Waits, until the store is back at most.
    pub async fn pause(&self, pause_ms: u64) {
        self.reach.pause(Duration::from_millis(pause_ms)).await;
    }

    /// Appends records to a partition; gives the offset of the first.
    pub async fn append(
        &self,
        topic: &str,
        partition: u32,
        records: &[Bytes],
        within: Duration,
    ) -> Result<u64, StoreError> {
        let calls = self.calls.of(topic);
        calls.count_append();
        let append = self.store.append(topic, partition, records, within);
        self.call(calls, append).await
    }

    /// Reads records.
    pub async fn read(&self, from: ReadRequest<'_>, within: Duration) -> Result<Page, StoreError> {
        let ReadRequest {
            topic,
            partition,
            offset,
            max_kb,
            wait_ms,
        } = from;
        let calls = self.calls.of(topic);
        calls.count_read();
        let read = self
            .store
            .read(topic, partition, offset, max_kb, wait_ms, within);
        let page = self.call(calls, read).await?;
        calls.count_records(page.records.iter().map(|record| &record[..]));
        Ok(page)
    }

    /// One record of the data topic; `max_kb` is at least its length.
    pub async fn read_data_record(
        &self,
        partition: u32,
        offset: u64,
        max_kb: u32,
        within: Duration,
    ) -> Result<Bytes, StoreError> {
        let page = self
            .read(data_read(partition, offset, max_kb), within)
            .await?;
        let first = page.records.into_iter().next();
        first.ok_or_else(|| StoreError::Malformed(format!("no record at {offset}")))
    }

    /// The newest record of each key of a keyed topic, and the end to read on from.
    pub async fn read_newest(
        &self,
        topic: &str,
        within: Duration,
    ) -> Result<(Vec<KeyedRecord>, u64), StoreError> {
        let calls = self.calls.of(topic);
        calls.count_read();
        let (records, end) = self.call(calls, self.store.newest(topic, within)).await?;
        calls.count_records(records.iter().map(|record| &record.value[..]));
        Ok((records, end))
    }

    /// Joins a group or stays in it.
    pub async fn join(
        &self,
        group: &str,
        member: &str,
        topic: &str,
        ttl_ms: u64,
        generation: u64,
        within: Duration,
    ) -> Result<Membership, StoreError> {
        let join = self
            .store
            .join(group, member, topic, ttl_ms, generation, within);
        self.group_call(join).await
    }

    /// Partitions of a group that have an owner, with its name.
    pub async fn owners(
        &self,
        group: &str,
        within: Duration,
    ) -> Result<Vec<(u32, String)>, StoreError> {
        self.group_call(self.store.owners(group, within)).await
    }

    /// Leaves a group.
    pub async fn leave(
        &self,
        group: &str,
        member: &str,
        within: Duration,
    ) -> Result<(), StoreError> {
        self.group_call(self.store.leave(group, member, within))
            .await
    }

    async fn call<T>(
        &self,
        calls: &TopicCalls,
        call: impl Future<Output = Result<T, StoreError>>,
    ) -> Result<T, StoreError> {
        let sign_of = |error: &StoreError| match error {
            StoreError::Unsure(_)
            | StoreError::NotDone(_)
            | StoreError::Unreachable(_)
            | StoreError::Silent(_) => Sign::Unavailable,
            StoreError::Gone(_) | StoreError::Conflict(_) | StoreError::Malformed(_) => {
                Sign::Available
            }
            StoreError::Throttled(_) => Sign::Nothing,
        };
        let outcome = self.reach.call(call, sign_of).await;
        self.note(calls, outcome.unwrap_or_else(left_behind))
    }

    /// A store that refuses every record still serves its groups, so that a join says nothing.
    async fn group_call<T>(
        &self,
        call: impl Future<Output = Result<T, StoreError>>,
    ) -> Result<T, StoreError> {
        let calls = self.calls.of(GROUP);
        calls.count_read();
        let outcome = self.reach.follow(call).await;
        self.note(calls, outcome.unwrap_or_else(left_behind))
    }

    fn note<T>(&self, calls: &TopicCalls, outcome: Result<T, StoreError>) -> Result<T, StoreError> {
        if let Err(error) = &outcome {
            calls.count_error(error);
        }
        if !outcome.as_ref().is_err_and(StoreError::is_silence) {
            self.heard_ms.store(now_ms(), Ordering::Relaxed);
        }
        outcome
    }
}

fn left_behind<T>() -> Result<T, StoreError> {
    let why = "the store is back and has not answered";
    Err(StoreError::Unsure(why.to_owned()))
}
