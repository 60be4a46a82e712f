//! Watches the processes of other fronts that own shards.
//!
//! Two members of the runners' group hold a connection to the relay of each shard's owner. When it
//! ends and [`relay::OwnerWatch`] concludes that the process is dead, they end its membership, so
//! that the store assigns its partitions without waiting for the time to live. An owner that is
//! silent keeps its membership: it may still act. Small fronts and fronts that relay no calls
//! neither watch nor are watched.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use index::RUNNER_GROUP;
use ownership::shard_partition;
use relay::{ConnectOutcome, OwnerWatch, WatchAction, WatchEvent, watches_owner};
use telemetry::Label;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

use crate::clock::now_ms;
use crate::member::{self, GROUP_TIMEOUT_MS};
use crate::peer_relay::{ConnectError, connect};
use crate::state::Front;

/// Interval of checks which owners are to be watched, in milliseconds.
const CHECK_MS: u64 = 200;
/// Age up to which a record shows an owner worth watching, in milliseconds. An owner with work
/// writes one each second.
const RECORD_AGE_MS_MAX: u64 = 10_000;
/// Interval of reads of the group's owners without a known change, in milliseconds.
const OWNERS_MS: u64 = 5_000;
/// Interval of these reads while an owner's record and the group disagree, in milliseconds.
const OWNERS_DIFFER_MS: u64 = 1_000;
/// Timeout of an attempt to connect, the hello of the owner included, in milliseconds.
const CONNECT_MS_MAX: u64 = 200;
/// Pause before a connection is opened again that ended sooner than this after it was opened, in
/// milliseconds. An owner that closes each connection at once does not keep its watchers busy.
const RECONNECT_MS: u64 = 100;
/// Attempts to end the membership of a dead owner; then its time to live has nearly passed.
const RELEASE_ATTEMPTS_MAX: u32 = 3;
/// Pause between these attempts, in milliseconds.
const RELEASE_PAUSE_MS: u64 = 100;

/// A shard: the name of its pool, and its number.
type ShardKey = (String, u16);

/// The owner of a shard, by its newest record.
#[derive(Clone, PartialEq, Eq)]
struct Owner {
    node: String,
    address: SocketAddr,
}

/// A watch in progress, or one that ended with the death of the owner. Dropping it ends it.
struct Watch {
    owner: Owner,
    /// When the owner's newest record was read.
    record_ms: u64,
    task: JoinHandle<()>,
}

impl Drop for Watch {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Owners of the group's partitions, as last read.
#[derive(Default)]
struct GroupOwners {
    nodes: BTreeMap<u32, String>,
    /// Generation of the group, by this front's last join, when the owners were read.
    generation: u64,
    read_ms: Option<u64>,
}

/// Watches owners until the process ends.
pub async fn run(front: Arc<Front>) {
    if front.settings.peer_ports.is_none() || member::is_small(&front.settings) {
        return;
    }
    let mut group = GroupOwners::default();
    let mut watches: HashMap<ShardKey, Watch> = HashMap::new();
    loop {
        tokio::time::sleep(Duration::from_millis(CHECK_MS)).await;
        let Some(own) = front.relay_address() else {
            continue;
        };
        let recorded = recorded_owners(&front);
        if !recorded.is_empty() {
            group.refresh(&front, &recorded).await;
        }
        let watched: HashMap<ShardKey, (Owner, u64)> = recorded
            .into_iter()
            .filter(|(shard, (owner, _))| group.is_watched(&front, own, shard, owner))
            .collect();
        watches.retain(|shard, watch| {
            let known = watched.get(shard);
            known.is_some_and(|(owner, record_ms)| {
                // An owner that writes again after its death was concluded is a new process.
                *owner == watch.owner
                    && (!watch.task.is_finished() || *record_ms == watch.record_ms)
            })
        });
        for (shard, (owner, record_ms)) in watched {
            let watch = watches.entry(shard).or_insert_with(|| Watch {
                task: tokio::spawn(watch_owner(Arc::clone(&front), owner.clone())),
                owner,
                record_ms,
            });
            if !watch.task.is_finished() {
                watch.record_ms = record_ms;
            }
        }
    }
}

/// Owners by the newest records of shards, each with the time at which this front read the record.
/// Leaves out this front and owners that relay no calls or wrote long ago.
fn recorded_owners(front: &Front) -> HashMap<ShardKey, (Owner, u64)> {
    let now_ms = now_ms();
    let index = front.index();
    let newest = index.shards.iter().filter_map(|newest| {
        let record = &newest.record;
        let is_recent = now_ms.saturating_sub(newest.read_ms) <= RECORD_AGE_MS_MAX;
        let is_other = record.node != front.settings.node;
        let address = record.peer.filter(|_| is_recent && is_other)?;
        let owner = Owner {
            node: record.node.clone(),
            address,
        };
        Some(((record.pool.clone(), record.shard), (owner, newest.read_ms)))
    });
    newest.collect()
}

impl GroupOwners {
    /// Reads the owners if they may have changed.
    async fn refresh(&mut self, front: &Front, recorded: &HashMap<ShardKey, (Owner, u64)>) {
        let generation = front.ownership.load().generation();
        let agrees = recorded
            .iter()
            .all(|(shard, (owner, _))| self.owns(front, shard, owner));
        let interval_ms = match agrees {
            true => OWNERS_MS,
            false => OWNERS_DIFFER_MS,
        };
        let is_due = |read_ms: u64| now_ms().saturating_sub(read_ms) >= interval_ms;
        if generation == self.generation && !self.read_ms.is_none_or(is_due) {
            return;
        }
        self.read_ms = Some(now_ms());
        let timeout = Duration::from_millis(GROUP_TIMEOUT_MS);
        match front.storage.read_owners(RUNNER_GROUP, timeout).await {
            Ok(owners) => {
                self.nodes = owners.into_iter().collect();
                self.generation = generation;
            }
            Err(error) => log::warn!(event = "owners-not-read", error:% = error; ""),
        }
    }

    fn owns(&self, front: &Front, (pool, shard): &ShardKey, owner: &Owner) -> bool {
        let partition = shard_partition(pool, *shard, front.settings.store.partitions);
        self.nodes.get(&partition) == Some(&owner.node)
    }

    /// Whether this front, at `own`, is to watch the owner of a shard.
    fn is_watched(&self, front: &Front, own: SocketAddr, shard: &ShardKey, owner: &Owner) -> bool {
        let mut nodes: Vec<&String> = self.nodes.values().collect();
        nodes.sort_unstable();
        nodes.dedup();
        if !self.owns(front, shard, owner) || !nodes.contains(&&front.settings.node) {
            return false;
        }
        // The owner is left out by its name too: its address in the address book may be outdated.
        let others = nodes.into_iter().filter(|node| **node != owner.node);
        let addresses = others.filter_map(|node| match *node == front.settings.node {
            true => Some(own),
            false => front.storage.relay.address_of(node),
        });
        let name = format!("{}/{}", shard.0, shard.1);
        watches_owner(&name, own, owner.address, addresses)
    }
}

/// Watches the process of an owner until it is dead, and then ends its membership.
async fn watch_owner(front: Arc<Front>, owner: Owner) {
    let mut watch = OwnerWatch::new(None);
    let mut connection = None;
    let mut action = WatchAction::Connect;
    loop {
        let event = match action {
            WatchAction::Connect | WatchAction::ConnectAfter(_) => {
                if let WatchAction::ConnectAfter(pause_ms) = action {
                    tokio::time::sleep(Duration::from_millis(pause_ms)).await;
                }
                let (outcome, opened) = open(&front, owner.address).await;
                connection = opened;
                WatchEvent::Connected(outcome)
            }
            WatchAction::Watch => {
                if let Some(connection) = connection.take() {
                    wait_until_closed(connection).await;
                }
                WatchEvent::Closed
            }
            WatchAction::Dead => return,
        };
        action = watch.observe(event);
        if action == WatchAction::Dead {
            let why = match event {
                WatchEvent::Connected(ConnectOutcome::Hello { .. }) => "restarted",
                WatchEvent::Connected(_) | WatchEvent::Closed => "refused",
            };
            log::warn!(event = "owner-lost", node = owner.node, why; "");
            release(&front, &owner.node).await;
        }
    }
}

async fn open(front: &Front, address: SocketAddr) -> (ConnectOutcome, Option<TcpStream>) {
    let Some(hello) = front.storage.relay.hello() else {
        return (ConnectOutcome::NoAnswer, None);
    };
    let within = Duration::from_millis(CONNECT_MS_MAX);
    match connect(address, hello, within).await {
        Ok((stream, peer)) => {
            let started_unix_ms = peer.started_unix_ms;
            (ConnectOutcome::Hello { started_unix_ms }, Some(stream))
        }
        Err(ConnectError::Refused) => (ConnectOutcome::Refused, None),
        Err(ConnectError::NoAnswer(reason)) => {
            log::debug!(event = "owner-silent", peer:% = address, why = reason; "");
            (ConnectOutcome::NoAnswer, None)
        }
    }
}

/// Waits until a connection is closed or reset. The owner sends nothing besides its hello.
async fn wait_until_closed(mut connection: TcpStream) {
    let opened_ms = now_ms();
    let mut ignored = [0; 64];
    while connection
        .read(&mut ignored)
        .await
        .is_ok_and(|bytes| bytes > 0)
    {}
    if now_ms().saturating_sub(opened_ms) < RECONNECT_MS {
        tokio::time::sleep(Duration::from_millis(RECONNECT_MS)).await;
    }
}

/// Ends the membership of a dead owner.
async fn release(front: &Front, node: &str) {
    let timeout = Duration::from_millis(GROUP_TIMEOUT_MS);
    for _ in 0..RELEASE_ATTEMPTS_MAX {
        match front.storage.leave(RUNNER_GROUP, node, timeout).await {
            Ok(()) => {
                log::info!(event = "owner-released", node; "");
                let name = "front_owners_released_total";
                front.metrics.count(name, Label::default(), 1);
                return;
            }
            Err(error) => {
                log::warn!(event = "owner-not-released", node, error:% = error; "");
                front.storage.pause(RELEASE_PAUSE_MS).await;
            }
        }
    }
}
