//! Replicas with what this process has there: connections and load.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use dispatch::{Replica, ReplicaId, ReplicaLoad};
use platform::{Connection, ExchangeError, connect};

use crate::clock::now_ms;
use crate::state::lock;

/// Longest time for a connection to a replica, in milliseconds. The way is below 3 ms and a
/// replica takes 1 ms for it; one that takes longer is cut off or overrun.
const CONNECT_MS: u64 = 250;
/// Kept idle connections to one replica, at most: as many as one runner uses at once.
const IDLE_MAX: usize = 16;
/// How long an idle connection is kept where the replica does not say, in milliseconds.
const KEEP_MS: u64 = 4_000;
/// Part of the replica's time that is left unused, in milliseconds, against the race with
/// its close.
const KEEP_MARGIN_MS: u64 = 300;

struct Idle {
    connection: Connection,
    until_ms: u64,
}

/// Connections and load of one life of a replica.
#[derive(Default)]
pub struct Peer {
    /// Load of this process.
    pub load: Arc<ReplicaLoad>,
    idle: Mutex<Vec<Idle>>,
}

impl Peer {
    /// A kept connection or a new one.
    pub async fn connection(&self, replica: &Replica) -> Result<Connection, ExchangeError> {
        if let Some(kept) = self.kept() {
            return Ok(kept);
        }
        let mut new = connect(replica.address, Duration::from_millis(CONNECT_MS)).await?;
        new.ready().await?;
        Ok(new)
    }

    /// Whether an idle connection is pooled.
    pub fn is_connected(&self, now_ms: u64) -> bool {
        let idle = lock(&self.idle);
        let newest = idle.last();
        newest.is_some_and(|idle| now_ms < idle.until_ms && idle.connection.is_usable())
    }

    fn kept(&self) -> Option<Connection> {
        let now_ms = now_ms();
        let mut idle = lock(&self.idle);
        while let Some(newest) = idle.pop() {
            if now_ms < newest.until_ms && newest.connection.is_usable() {
                return Some(newest.connection);
            }
        }
        None
    }

    /// Keeps a connection whose last answer was taken whole.
    pub fn keep(&self, connection: Connection, keep_ms: Option<u64>) {
        let now_ms = now_ms();
        let keep_ms = keep_ms.map_or(KEEP_MS, |stated| stated.saturating_sub(KEEP_MARGIN_MS));
        let until_ms = now_ms + keep_ms;
        let mut idle = lock(&self.idle);
        if idle.len() == IDLE_MAX {
            idle.remove(0);
        }
        idle.push(Idle {
            connection,
            until_ms,
        });
    }

    /// Closes all kept connections, as one of them was silent or brought odd bytes.
    pub fn forget_connections(&self) {
        lock(&self.idle).clear();
    }
}

/// A replica and what this process has there.
#[derive(Clone)]
pub struct Member {
    /// As its record tells.
    pub replica: Arc<Replica>,
    /// What this process has there.
    pub peer: Arc<Peer>,
}

/// All replicas that may take work, by service.
#[derive(Default)]
pub struct ReplicaTable {
    by_service: HashMap<Arc<str>, Vec<Member>>,
}

impl ReplicaTable {
    /// The next table: peers of replicas that stay are kept.
    pub fn next<'a>(&self, replicas: impl Iterator<Item = &'a Arc<Replica>>) -> Self {
        let incarnation = |replica: &Replica| (Arc::clone(&replica.id), replica.born_ms);
        let mut known: HashMap<(ReplicaId, Option<u64>), Arc<Peer>> = HashMap::new();
        for member in self.iter() {
            known.insert(incarnation(&member.replica), Arc::clone(&member.peer));
        }
        let mut by_service: HashMap<Arc<str>, Vec<Member>> = HashMap::new();
        for replica in replicas {
            let peer = known.remove(&incarnation(replica)).unwrap_or_default();
            let member = Member {
                replica: Arc::clone(replica),
                peer,
            };
            by_service
                .entry(Arc::clone(&replica.service))
                .or_default()
                .push(member);
        }
        Self { by_service }
    }

    /// Replicas of a service, those that are draining included.
    pub fn of(&self, service: &str) -> &[Member] {
        self.by_service.get(service).map_or(&[], Vec::as_slice)
    }

    /// All replicas.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.by_service.values().flatten()
    }
}
