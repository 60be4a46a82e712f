//! Client of the platform's store, shared by all tasks of a front.
//!
//! The tasks also share what their calls reveal about the store's availability: once one call
//! succeeds after an outage, pauses end and calls from before the recovery are abandoned.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use index::DATA_TOPIC;
use platform::store::{Membership, NewestPage, Page, Store, StoreError};
use reach::{Availability, Reachability};

use crate::clock::now_ms;
use crate::peer_relay::PeerRelay;
use crate::store_calls::{GROUP, StoreCalls, TopicCalls};

/// Start and limits of a read.
pub struct ReadRequest<'a> {
    pub topic: &'a str,
    pub partition: u32,
    /// Offset of the first record to read.
    pub offset: u64,
    /// Limit on the size of the returned records, in kibibytes.
    pub max_kb: u32,
    /// How long the store may wait for a record before it answers, in milliseconds.
    pub wait_ms: u64,
}

/// A read of the data topic without waiting: data is stored before any record refers to it.
pub fn data_read(partition: u32, offset: u64, max_kb: u32) -> ReadRequest<'static> {
    ReadRequest {
        topic: DATA_TOPIC,
        partition,
        offset,
        max_kb,
        wait_ms: 0,
    }
}

/// Client of the store, with its availability and counts of its calls.
pub struct Storage {
    store: Store,
    /// Decides whether a call is made directly or through another front.
    pub relay: Arc<PeerRelay>,
    reach: Reachability,
    /// Counts of calls by topic.
    pub calls: StoreCalls,
    /// When the store last answered a call, even with an error, in milliseconds of [`now_ms`].
    last_answer_ms: AtomicU64,
}

impl Storage {
    /// Client of the store at `address`; connects with the first call.
    pub fn new(address: SocketAddr) -> Self {
        let relay = Arc::new(PeerRelay::new(address));
        let transport = Arc::clone(&relay);
        Self {
            store: Store::with_transport(Box::new(move |call| {
                let relay = Arc::clone(&transport);
                Box::pin(async move { relay.call(call).await })
            })),
            relay,
            reach: Reachability::default(),
            calls: StoreCalls::default(),
            last_answer_ms: AtomicU64::new(now_ms()),
        }
    }

    /// Sets the store's address for the following calls; true if the address changed.
    pub fn set_address(&self, address: SocketAddr) -> bool {
        self.relay.set_store_address(address)
    }

    /// How often the store became available again after an outage.
    pub fn recoveries(&self) -> u64 {
        self.reach.recoveries()
    }

    /// Whether the store was unreachable by the last call whose outcome shows its availability.
    pub fn is_unreachable(&self) -> bool {
        self.reach.is_unreachable()
    }

    /// Time since the store last answered a call, even with an error, in milliseconds.
    pub fn silent_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.last_answer_ms.load(Ordering::Relaxed))
    }

    /// Sleeps for `pause_ms`; ends early if the store becomes available again.
    pub async fn pause(&self, pause_ms: u64) {
        self.reach.pause(Duration::from_millis(pause_ms)).await;
    }

    /// Like [`Storage::pause`]; also ends if calls begin to take another way to the store.
    pub async fn pause_unless_rerouted(&self, pause_ms: u64) {
        tokio::select! {
            () = self.pause(pause_ms) => {}
            () = self.relay.wait_for_change() => {}
        }
    }

    /// Appends records to a partition; returns the offset of the first.
    pub async fn append(
        &self,
        topic: &str,
        partition: u32,
        records: &[Bytes],
        timeout: Duration,
    ) -> Result<u64, StoreError> {
        let calls = self.calls.of(topic);
        calls.count_append();
        let append = self.store.append(topic, partition, records, timeout);
        self.call(calls, append).await
    }

    /// Reads records from one partition.
    pub async fn read(&self, from: ReadRequest<'_>, timeout: Duration) -> Result<Page, StoreError> {
        let ReadRequest {
            topic,
            partition,
            offset,
            max_kb,
            wait_ms,
        } = from;
        let wait_ms = self.relay.limit_wait_ms(wait_ms);
        let calls = self.calls.of(topic);
        calls.count_read();
        let read = self
            .store
            .read(topic, partition, offset, max_kb, wait_ms, timeout);
        let page = self.call(calls, read).await?;
        calls.count_records(page.records.iter().map(|record| &record[..]));
        Ok(page)
    }

    /// Reads one record of the data topic. `max_kb` must be at least the record's length.
    pub async fn read_data_record(
        &self,
        partition: u32,
        offset: u64,
        max_kb: u32,
        timeout: Duration,
    ) -> Result<Bytes, StoreError> {
        let page = self
            .read(data_read(partition, offset, max_kb), timeout)
            .await?;
        let first = page.records.into_iter().next();
        first.ok_or_else(|| StoreError::Malformed(format!("no record at {offset}")))
    }

    /// Reads the newest record of each key of a keyed topic and passes the pages to `on_page`. Returns
    /// the offset from which reading continues without missing a change. `timeout` is that of a page.
    pub async fn read_newest(
        &self,
        topic: &str,
        timeout: Duration,
        mut on_page: impl FnMut(NewestPage),
    ) -> Result<u64, StoreError> {
        let calls = self.calls.of(topic);
        let mut pages = self.store.newest_pages(topic, timeout);
        while !pages.is_complete() {
            calls.count_read();
            let page = self.call(calls, pages.next()).await?;
            calls.count_records(page.records.iter().map(|record| &record.value[..]));
            on_page(page);
        }
        Ok(pages.end())
    }

    /// Joins a group, or renews the membership.
    pub async fn join(
        &self,
        group: &str,
        member: &str,
        topic: &str,
        ttl_ms: u64,
        generation: u64,
        timeout: Duration,
    ) -> Result<Membership, StoreError> {
        let join = self
            .store
            .join(group, member, topic, ttl_ms, generation, timeout);
        self.group_call(join).await
    }

    /// Reads which partitions of a group have an owner, with the owner's name.
    pub async fn read_owners(
        &self,
        group: &str,
        timeout: Duration,
    ) -> Result<Vec<(u32, String)>, StoreError> {
        self.group_call(self.store.owners(group, timeout)).await
    }

    pub async fn leave(
        &self,
        group: &str,
        member: &str,
        timeout: Duration,
    ) -> Result<(), StoreError> {
        self.group_call(self.store.leave(group, member, timeout))
            .await
    }

    /// Makes a call whose outcome updates the store's availability.
    async fn call<T>(
        &self,
        calls: &TopicCalls,
        call: impl Future<Output = Result<T, StoreError>>,
    ) -> Result<T, StoreError> {
        let availability_of = |error: &StoreError| match error {
            StoreError::OutcomeUnknown(_)
            | StoreError::NotDone(_)
            | StoreError::ConnectTimeout(_)
            | StoreError::Timeout(_) => Availability::Unavailable,
            StoreError::Gone(_)
            | StoreError::Conflict(_)
            | StoreError::RefusedContent(_)
            | StoreError::Malformed(_) => Availability::Available,
            StoreError::Throttled(_) => Availability::Unknown,
        };
        let outcome = self.reach.call(call, availability_of).await;
        self.record_outcome(calls, outcome.unwrap_or_else(abandoned))
    }

    /// Makes a call about a group. The outcome does not update the store's availability, since a
    /// store that refuses all records may still serve its groups.
    async fn group_call<T>(
        &self,
        call: impl Future<Output = Result<T, StoreError>>,
    ) -> Result<T, StoreError> {
        let calls = self.calls.of(GROUP);
        calls.count_read();
        let outcome = self.reach.call_untracked(call).await;
        self.record_outcome(calls, outcome.unwrap_or_else(abandoned))
    }

    fn record_outcome<T>(
        &self,
        calls: &TopicCalls,
        outcome: Result<T, StoreError>,
    ) -> Result<T, StoreError> {
        if let Err(error) = &outcome {
            calls.count_error(error);
        }
        if !outcome.as_ref().is_err_and(StoreError::is_timeout) {
            self.last_answer_ms.store(now_ms(), Ordering::Relaxed);
        }
        outcome
    }
}

/// Outcome of a call that was abandoned because the store recovered before answering it.
fn abandoned<T>() -> Result<T, StoreError> {
    let reason = "call abandoned: the store recovered without answering the call";
    Err(StoreError::OutcomeUnknown(reason.to_owned()))
}
