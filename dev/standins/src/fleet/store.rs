//! The platform's store: partitioned topics and consumer groups. A store can have several
//! listeners, each with faults of its own, so that a test can refuse the requests of one VM and
//! answer those of the others.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use percent_encoding::percent_decode_str;
use serde::Deserialize;
use serde_json::json;
use tokio::sync::watch;
use tokio::time::{Instant, timeout_at};

use super::groups::Group;
use super::topics::{AppendConditions, AppendRefusal, Partition, parse_frames};
use crate::error::StandinError;
use crate::handle::{Control, Handle};
use crate::http::{self, Call};
use crate::reply::{self, Reply};

/// Partitions of a topic.
const PARTITIONS: u32 = 24;
/// Keys per page of newest records.
const PAGE_KEYS: usize = 500;
/// Size of the values of a page of newest records, which has one record at least.
const PAGE_BYTES: usize = 1_000_000;
/// Size of a page of records if the reader states none.
const PAGE_KB: u64 = 1_024;

/// Longest record of an append, in bytes.
const RECORD_BYTES_MAX: usize = 262_144;
/// Most bytes of all records of an append, with the length before each.
const APPEND_BYTES_MAX: usize = 2_097_152;

struct State {
    partitions: BTreeMap<(String, u32), Partition>,
    groups: BTreeMap<String, Group>,
    record_bytes_max: usize,
    refused_topics: BTreeSet<String>,
    /// Number of appends that were refused for their content, by topic.
    refused_appends: BTreeMap<String, usize>,
}

impl Default for State {
    fn default() -> Self {
        Self {
            partitions: BTreeMap::new(),
            groups: BTreeMap::new(),
            record_bytes_max: RECORD_BYTES_MAX,
            refused_topics: BTreeSet::new(),
            refused_appends: BTreeMap::new(),
        }
    }
}

impl State {
    /// Status that refuses an append for its content; `None` if it is accepted.
    fn refusal(&mut self, topic: &str, call_bytes: usize, records: &[Bytes]) -> Option<u16> {
        let is_too_long = |record: &Bytes| record.len() > self.record_bytes_max;
        let status = match records.iter().any(is_too_long) || self.refused_topics.contains(topic) {
            true => Some(400),
            false => (call_bytes > APPEND_BYTES_MAX).then_some(413),
        };
        if status.is_some() {
            *self.refused_appends.entry(topic.to_owned()).or_default() += 1;
        }
        status
    }
}

/// A store. Clones and listeners share its state.
#[derive(Clone)]
pub struct Store {
    state: Arc<Mutex<State>>,
    /// Counts changes, which wakes the reads that wait for records.
    changes: watch::Sender<u64>,
    /// Called with the name of each member that joins a group, before the answer is sent.
    on_join: Arc<Mutex<Option<JoinHook>>>,
}

/// What a test does when a member joins.
type JoinHook = Box<dyn Fn(&str) + Send>;

impl Default for Store {
    fn default() -> Self {
        Self {
            state: Arc::default(),
            changes: watch::Sender::new(0),
            on_join: Arc::default(),
        }
    }
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Join {
    group: String,
    member: String,
    ttl_ms: u64,
    topics: Vec<String>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Leave {
    group: String,
    member: String,
}

impl Store {
    /// Starts a listener on `listen`.
    pub async fn listen(&self, listen: SocketAddr) -> Result<Handle, StandinError> {
        let store = self.clone();
        http::serve(listen, Control::new(), false, move |call| {
            let store = store.clone();
            async move { store.answer(call).await }
        })
        .await
    }

    /// Writes a record of a keyed topic to partition 0, as the operator or a replica does. Without
    /// a value, the record is a tombstone.
    pub fn put(&self, topic: &str, key: &str, value: Option<&str>) {
        self.add(topic, 0, vec![keyed_record(key, value.unwrap_or_default())]);
    }

    /// Writes keyed records, each a key and a value, so that no reader sees one without the others.
    pub fn put_all(&self, topic: &str, records: &[(&str, String)]) {
        let records = records.iter().map(|(key, value)| keyed_record(key, value));
        self.add(topic, 0, records.collect());
    }

    /// Appends records without conditions.
    pub fn add(&self, topic: &str, partition: u32, records: Vec<Bytes>) {
        let mut state = self.lock();
        let partition_log = state
            .partitions
            .entry((topic.to_owned(), partition))
            .or_default();
        // An append without conditions is never refused.
        let _ = partition_log.append(topic, records, &AppendConditions::default());
        drop(state);
        self.changes.send_modify(|count| *count += 1);
    }

    /// Trims all records of a partition. The newest record of each key stays readable.
    pub fn trim(&self, topic: &str, partition: u32) {
        self.trim_before(topic, partition, u64::MAX);
    }

    /// Trims the records of a partition before an offset. The newest record of each key stays
    /// readable.
    pub fn trim_before(&self, topic: &str, partition: u32, offset: u64) {
        let mut state = self.lock();
        if let Some(partition_log) = state.partitions.get_mut(&(topic.to_owned(), partition)) {
            let end = partition_log.end();
            partition_log.trim(end.min(offset));
        }
        drop(state);
        self.changes.send_modify(|count| *count += 1);
    }

    /// Partitions of a group with the names of their owners.
    pub fn owners_of(&self, group: &str) -> Vec<(u32, String)> {
        let mut state = self.lock();
        let group = state.groups.get_mut(group);
        group.map(Group::owners).unwrap_or_default()
    }

    /// Reassigns all partitions of all groups to other members.
    pub fn reassign_partitions(&self) {
        self.lock()
            .groups
            .values_mut()
            .for_each(Group::reassign_partitions);
    }

    /// Calls `hook` with the name of each member that joins a group, before the answer is sent.
    pub fn on_join(&self, hook: impl Fn(&str) + Send + 'static) {
        *lock(&self.on_join) = Some(Box::new(hook));
    }

    /// Refuses appends with a longer record than this from now on.
    pub fn limit_records(&self, record_bytes_max: usize) {
        self.lock().record_bytes_max = record_bytes_max;
    }

    /// Refuses all appends to a topic for their content from now on.
    pub fn refuse_content(&self, topic: &str) {
        self.lock().refused_topics.insert(topic.to_owned());
    }

    /// Number of appends to a topic that were refused for their content.
    pub fn refused_appends(&self, topic: &str) -> usize {
        self.lock().refused_appends.get(topic).copied().unwrap_or(0)
    }

    /// Offset of the next record of a partition.
    pub fn end(&self, topic: &str, partition: u32) -> u64 {
        let state = self.lock();
        let partition_log = state.partitions.get(&(topic.to_owned(), partition));
        partition_log.map_or(0, Partition::end)
    }

    async fn answer(&self, call: Call) -> Reply {
        match (call.method.as_str(), call.path.as_str()) {
            ("POST", "/v1/log-append") => self.append(&call),
            ("GET", "/v1/log-read") => self.read(&call).await,
            ("GET", "/v1/log-newest") => self.newest(&call),
            ("POST", "/v1/log-join") => self.join(&call),
            ("POST", "/v1/log-leave") => self.leave(&call),
            ("GET", "/v1/log-owners") => self.owners(&call),
            _ => reply::error(404, "no-such-call"),
        }
    }

    fn append(&self, call: &Call) -> Reply {
        let (topic, partition) = topic_and_partition(call);
        let Some(records) = parse_frames(call.body.clone()) else {
            return reply::error(400, "odd-records");
        };
        let conditions = AppendConditions {
            as_of: call.query_u64("AsOf"),
            producer: query_text(call, "Producer"),
            epoch: call.query_u64("epoch").unwrap_or(0),
            sequence: call.query_u64("Seq").unwrap_or(0),
        };
        let mut state = self.lock();
        if let Some(status) = state.refusal(&topic, call.body.len(), &records) {
            return reply::error(status, "odd-records");
        }
        let partition_log = state
            .partitions
            .entry((topic.clone(), partition))
            .or_default();
        let answer = match partition_log.append(&topic, records, &conditions) {
            Ok(offset) => reply::json(
                200,
                &json!({ "Offset": offset, "End": partition_log.end() }),
            ),
            Err(AppendRefusal::End(end)) => reply::json(412, &json!({ "End": end })),
            Err(AppendRefusal::Fenced) => reply::json(409, &json!({ "why": "fenced" })),
            Err(AppendRefusal::Sequence(next)) => {
                reply::json(409, &json!({ "why": "seq", "Seq": next }))
            }
        };
        drop(state);
        self.changes.send_modify(|count| *count += 1);
        answer
    }

    async fn read(&self, call: &Call) -> Reply {
        let key = topic_and_partition(call);
        let from = call.query_u64("From").unwrap_or(0);
        let max_bytes = call.query_u64("MaxKb").unwrap_or(PAGE_KB) as usize * 1_024;
        let wait = Duration::from_millis(call.query_u64("WaitMs").unwrap_or(0));
        let deadline = Instant::now() + wait;
        let mut changes = self.changes.subscribe();
        loop {
            {
                let mut state = self.lock();
                let partition_log = state.partitions.entry(key.clone()).or_default();
                if from < partition_log.first() {
                    return reply::json(410, &json!({ "First": partition_log.first() }));
                }
                if from < partition_log.end() || Instant::now() >= deadline {
                    return reply::bytes(200, partition_log.page(from, max_bytes));
                }
            }
            // When the wait times out, the next iteration returns an empty page.
            let _ = timeout_at(deadline, changes.changed()).await;
        }
    }

    fn newest(&self, call: &Call) -> Reply {
        let after = query_text(call, "After").unwrap_or_default();
        let mut state = self.lock();
        let partition_log = state
            .partitions
            .entry(topic_and_partition(call))
            .or_default();
        let entries = partition_log.newest(&after, PAGE_KEYS + 1);
        let mut bytes = 0;
        let fits = entries.iter().take(PAGE_KEYS).take_while(|entry| {
            bytes += entry.2.len();
            bytes <= PAGE_BYTES
        });
        let count = fits.count().max(1);
        let more = entries.len() > count;
        let entries: Vec<_> = entries
            .into_iter()
            .take(count)
            .map(|(key, offset, value)| {
                json!({ "Key": key, "Value": base64(value), "Offset": offset })
            })
            .collect();
        reply::json(
            200,
            &json!({ "Entries": entries, "More": more, "End": partition_log.end() }),
        )
    }

    fn join(&self, call: &Call) -> Reply {
        let join: Join = match call.json() {
            Ok(join) => join,
            Err(refusal) => return *refusal,
        };
        let mut state = self.lock();
        let group = state.groups.entry(join.group).or_default();
        let (generation, own) = group.join(&join.member, join.ttl_ms, PARTITIONS);
        drop(state);
        if let Some(hook) = &*lock(&self.on_join) {
            hook(&join.member);
        }
        let topic = join.topics.first().cloned().unwrap_or_default();
        let rows: Vec<_> = own
            .into_iter()
            .map(|part| json!([topic, part, 0]))
            .collect();
        reply::json(
            200,
            &json!({
                "Generation": generation, "TtlMs": join.ttl_ms, "parts": rows
            }),
        )
    }

    fn owners(&self, call: &Call) -> Reply {
        let mut state = self.lock();
        let group = state
            .groups
            .entry(query_text(call, "Group").unwrap_or_default());
        let rows: Vec<_> = group
            .or_default()
            .owners()
            .into_iter()
            .map(|(part, member)| json!(["runners", part, member, 0]))
            .collect();
        reply::json(200, &json!({ "Generation": 0, "parts": rows }))
    }

    fn leave(&self, call: &Call) -> Reply {
        let leave: Leave = match call.json() {
            Ok(leave) => leave,
            Err(refusal) => return *refusal,
        };
        if let Some(group) = self.lock().groups.get_mut(&leave.group) {
            group.leave(&leave.member);
        }
        reply::json(200, &json!({}))
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn topic_and_partition(call: &Call) -> (String, u32) {
    let partition = call.query_u64("part").unwrap_or(0);
    (
        query_text(call, "Topic").unwrap_or_default(),
        partition as u32,
    )
}

fn query_text(call: &Call, name: &str) -> Option<String> {
    let fields = call
        .query
        .split('&')
        .filter_map(|field| field.split_once('='));
    let mut values = fields.filter(|(field, _)| *field == name);
    let value = values.next()?.1.replace('+', " ");
    Some(percent_decode_str(&value).decode_utf8_lossy().into_owned())
}

fn base64(value: &[u8]) -> String {
    use base64::Engine as _;
    base64::engine::general_purpose::STANDARD.encode(value)
}

/// Bytes of a keyed record; an empty value drops the key.
fn keyed_record(key: &str, value: &str) -> Bytes {
    let mut record = vec![key.len() as u8];
    record.extend_from_slice(key.as_bytes());
    record.extend_from_slice(value.as_bytes());
    record.into()
}
