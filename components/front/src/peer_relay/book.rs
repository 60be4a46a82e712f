//! The address book: this front's record, and the peers that are known from the others' records.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use dispatch::most_report_start;
use platform::store::{KeyedRecord, NewestPage, StoreError, encode_keyed};
use relay::{
    FRONTS_TOPIC, FrontRecord, RELAY_VERSION, RelayHello, Way, decode_record, encode_record,
    rank_peers,
};

use telemetry::Label;

use crate::clock::{now_ms, unix_ms};
use crate::state::{Front, lock};
use crate::writer::{RetriedRecords, append_records};

/// Interval of checks whether enough replicas report their start, in milliseconds.
const ACTIVE_POLL_MS: u64 = 500;
/// Longest random pause before the record is written, and again before the others' records are
/// read, in milliseconds. Spreads the calls of fronts that start together.
const JITTER_MS: u64 = 1_000;
/// Shortest interval between two reads of the address book, in milliseconds.
const READ_MS_MIN: u64 = 2_000;
/// Longest interval between reads while too few peers are known, in milliseconds.
const READ_MS_MAX: u64 = 30_000;
/// When the address book is read for the second time, in milliseconds after the first. A front that
/// starts together with the whole fleet finds only a few records at first.
const SECOND_READ_MS: u64 = 30_000;
/// Timeout of a read of the address book, in milliseconds.
const READ_TIMEOUT_MS: u64 = 1_350;

/// Waits until more than half of the replicas that are not draining report their start.
pub async fn wait_until_active(front: &Front) {
    loop {
        let table = front.replicas.load_full();
        let replicas = table.iter().map(|member| &*member.replica);
        if front.replicas_read.load(Ordering::Relaxed) > 0 && most_report_start(replicas) {
            return;
        }
        tokio::time::sleep(Duration::from_millis(ACTIVE_POLL_MS)).await;
    }
}

/// The hello of this process.
pub fn hello(front: &Front) -> RelayHello {
    let age_ms = now_ms().saturating_sub(front.started_ms);
    RelayHello {
        version: RELAY_VERSION,
        node: front.settings.node.clone(),
        started_unix_ms: unix_ms().saturating_sub(age_ms),
    }
}

/// Writes this front's record, reads those of the others, and reads them again while too few peers
/// are usable.
pub async fn maintain(front: &Front) {
    pause(rand::random::<u64>() % JITTER_MS).await;
    announce(front).await;
    pause(rand::random::<u64>() % JITTER_MS).await;
    let mut interval_ms = READ_MS_MIN;
    let mut way = front.storage.relay.way.subscribe();
    read(front).await;
    let mut second_read_ms = Some(now_ms() + SECOND_READ_MS);
    loop {
        let jitter_ms = rand::random::<u64>() % (interval_ms / 4);
        tokio::select! {
            () = pause(interval_ms + jitter_ms) => {}
            // The sender lives as long as the front, so `changed` cannot fail.
            _ = way.changed() => pause(READ_MS_MIN).await,
        }
        if !can_read(front) {
            continue;
        }
        let needs_peers = front.storage.relay.route().needs_peers(now_ms());
        if second_read_ms.take_if(|at_ms| now_ms() >= *at_ms).is_some() || needs_peers {
            read(front).await;
        }
        interval_ms = match needs_peers {
            true => (interval_ms * 2).min(READ_MS_MAX),
            false => READ_MS_MIN,
        };
    }
}

/// Writes this front's record, unless the front is leaving.
async fn announce(front: &Front) {
    let _writing = front.storage.relay.record_writes.lock().await;
    if front.drain.is_leaving() {
        return;
    }
    if let Some(record) = own_record(front) {
        write(front, &record).await;
    }
}

/// Removes this front's record when the front leaves.
pub async fn withdraw(front: Arc<Front>) {
    if front.storage.relay.identity.get().is_none() {
        return;
    }
    // The record itself may still be waiting for the store, and must not follow its removal.
    let _writing = front.storage.relay.record_writes.lock().await;
    match encode_keyed(&front.settings.node, None) {
        Ok(tombstone) => write(&front, &tombstone).await,
        Err(error) => log::error!(event = "front-record-malformed", error:% = error; ""),
    }
}

async fn pause(pause_ms: u64) {
    tokio::time::sleep(Duration::from_millis(pause_ms)).await;
}

/// Whether the store is likely to answer a read. While it is down for all fronts, the read would
/// only add to the calls.
fn can_read(front: &Front) -> bool {
    let route = front.storage.relay.route();
    match route.way() {
        Way::Direct => route.may_serve(),
        Way::Peer => route.next_peer(&[], now_ms()).is_some(),
    }
}

fn own_record(front: &Front) -> Option<Bytes> {
    let identity = front.storage.relay.identity.get()?;
    let (domain, started) = (&front.settings.domain, identity.hello.started_unix_ms);
    let record = encode_record(&FrontRecord::new(identity.address, domain, started));
    let encoded = record
        .map_err(|reason| StoreError::NotDone(reason.to_string()))
        .and_then(|value| encode_keyed(&front.settings.node, Some(&value)));
    match encoded {
        Ok(record) => Some(record),
        Err(error) => {
            log::error!(event = "front-record-malformed", error:% = error; "");
            None
        }
    }
}

async fn write(front: &Front, record: &Bytes) {
    let records = std::slice::from_ref(record);
    append_records(front, RetriedRecords::FrontRecord, FRONTS_TOPIC, 0, records).await;
}

async fn read(front: &Front) {
    let timeout = Duration::from_millis(READ_TIMEOUT_MS);
    let mut fronts = HashMap::new();
    let on_page = |page: NewestPage| fronts.extend(page.records.iter().filter_map(decode));
    let read = front.storage.read_newest(FRONTS_TOPIC, timeout, on_page);
    match read.await {
        Ok(_) => set_peers(front, fronts),
        Err(error) => log::warn!(event = "fronts-not-read", error:% = error; ""),
    }
}

fn set_peers(front: &Front, fronts: HashMap<String, FrontRecord>) {
    let Some(identity) = front.storage.relay.identity.get() else {
        return;
    };
    let own = identity.address;
    let (node, domain) = (&front.settings.node, &front.settings.domain);
    let peers: Vec<SocketAddr> = rank_peers(node, domain, own, fronts.values());
    let count = peers.len() as u64;
    front
        .metrics
        .set_gauge("front_relay_peers", Label::default(), count);
    front.storage.relay.route().set_peers(peers);
    let addresses = fronts
        .into_iter()
        .map(|(node, front)| (node, front.address));
    *lock(&front.storage.relay.addresses) = addresses.collect();
}

fn decode(record: &KeyedRecord) -> Option<(String, FrontRecord)> {
    match decode_record(&record.value) {
        Ok(front) => Some((record.key.clone(), front)),
        Err(error) => {
            let (topic, key) = (FRONTS_TOPIC, &record.key);
            log::warn!(event = "record-malformed", topic, key, error:% = error; "");
            None
        }
    }
}
