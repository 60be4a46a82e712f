//! The table of replicas, with this process's connection pool and load estimate for each.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, Weak};
use std::time::Duration;

use concurrency::ConcurrencyLimit;
use derive::key;
use dispatch::{Replica, ReplicaId, ReplicaLoad};
use platform::{Connection, ExchangeError, connect};
use tokio::sync::watch;

use crate::clock::now_ms;
use crate::state::lock;

/// Timeout for connecting to a replica, in milliseconds. The network takes less than 3 ms and the
/// replica 1 ms; a replica that takes longer than the timeout is unreachable or overloaded.
const CONNECT_TIMEOUT_MS: u64 = 250;
/// Timeout for checking whether a replica still accepts connections, in milliseconds. The call that
/// lost its connection waits for the check before it is retried.
const CHECK_TIMEOUT_MS: u64 = 50;
/// Limit on idle connections per replica: as many as the runner uses there at once.
const IDLE_MAX: usize = 16;
/// How long an idle connection is kept if the replica's answer states no time, in milliseconds.
const KEEP_ALIVE_MS: u64 = 4_000;
/// Subtracted from the keep-alive time that the replica states, in milliseconds, so that no request
/// is sent while the replica closes the connection.
const KEEP_ALIVE_MARGIN_MS: u64 = 300;

struct Idle {
    connection: Connection,
    /// When the last answer on it was complete.
    returned_ms: u64,
    until_ms: u64,
}

/// Identifies one incarnation of a replica: its id and, if its record has one, its start time.
pub type Incarnation = (ReplicaId, Option<u64>);

/// The incarnation that a record describes.
pub fn incarnation(replica: &Replica) -> Incarnation {
    (Arc::clone(&replica.id), replica.started_ms)
}

/// Connection pool and load estimate for one incarnation of a replica. A restarted replica gets a
/// new one.
#[derive(Default)]
pub struct Peer {
    /// This process's calls in flight at the replica, and their latency.
    pub load: Arc<ReplicaLoad>,
    /// Limit on this process's calls in flight at the replica.
    pub limit: Mutex<ConcurrencyLimit>,
    idle: Mutex<Vec<Idle>>,
    /// Start of the next incarnation, in milliseconds of [`now_ms`]; `None` while none is known.
    next_started_ms: watch::Sender<Option<u64>>,
}

impl Peer {
    /// An idle connection from the pool, or a new one. A connection that has carried `request_id`
    /// is left in the pool: a late second copy of that answer would pass for the next one.
    pub async fn connection(
        &self,
        replica: &Replica,
        request_id: &str,
    ) -> Result<Connection, ExchangeError> {
        if let Some(pooled) = self.take_idle(request_id) {
            return Ok(pooled);
        }
        new_connection(replica).await
    }

    /// Whether the pool has a usable idle connection.
    pub fn is_connected(&self, now_ms: u64) -> bool {
        let idle = lock(&self.idle);
        let newest = idle.last();
        newest.is_some_and(|idle| now_ms < idle.until_ms && idle.connection.is_usable())
    }

    fn take_idle(&self, request_id: &str) -> Option<Connection> {
        let now_ms = now_ms();
        let mut idle = lock(&self.idle);
        idle.retain(|idle| now_ms < idle.until_ms && idle.connection.is_usable());
        let newest = idle
            .iter()
            .rposition(|idle| !idle.connection.has_carried(request_id))?;
        Some(idle.remove(newest).connection)
    }

    /// Returns a connection to the pool, after its last answer was read completely.
    /// `keep_alive_ms` is the keep-alive time that the replica stated.
    pub fn return_connection(&self, connection: Connection, keep_alive_ms: Option<u64>) {
        let now_ms = now_ms();
        let keep_alive_ms = keep_alive_ms.map_or(KEEP_ALIVE_MS, |stated| {
            stated.saturating_sub(KEEP_ALIVE_MARGIN_MS)
        });
        let until_ms = now_ms + keep_alive_ms;
        let mut idle = lock(&self.idle);
        if idle.len() == IDLE_MAX {
            idle.remove(0);
        }
        idle.push(Idle {
            connection,
            returned_ms: now_ms,
            until_ms,
        });
    }

    /// Waits until a record shows that the replica has restarted since `sent_ms`. A request that was
    /// sent then has failed, even if its connection does not end: a machine that lost power closes
    /// no connection. A request that was sent later has reached the next incarnation.
    pub async fn wait_for_restart(&self, sent_ms: u64) {
        let mut next = self.next_started_ms.subscribe();
        let has_restarted =
            |started_ms: &Option<u64>| started_ms.is_some_and(|started_ms| sent_ms < started_ms);
        // `wait_for` fails only if the sender is dropped, and `self` holds the sender.
        let _ = next.wait_for(has_restarted).await;
    }

    /// Closes all idle connections, after a call on one connection failed.
    pub fn close_idle(&self) {
        lock(&self.idle).clear();
    }

    /// Closes the idle connections on which no answer ended after `since_ms`, in milliseconds of
    /// [`now_ms`]. Returns how many.
    pub fn close_unused_since(&self, since_ms: u64) -> usize {
        let mut idle = lock(&self.idle);
        let before = idle.len();
        idle.retain(|idle| idle.returned_ms > since_ms);
        before - idle.len()
    }
}

/// Opens a connection to a replica.
pub async fn new_connection(replica: &Replica) -> Result<Connection, ExchangeError> {
    let timeout = Duration::from_millis(CONNECT_TIMEOUT_MS);
    let mut connection = connect(replica.address, timeout).await?;
    connection.ready().await?;
    Ok(connection)
}

/// A replica of a service, with this process's connections to it.
#[derive(Clone)]
pub struct Member {
    /// The replica's newest record.
    pub replica: Arc<Replica>,
    pub peer: Arc<Peer>,
}

/// A restart of a replica under its id.
pub struct Restart {
    /// Last record before the restart.
    pub former: Arc<Replica>,
    /// Start of the next incarnation, in milliseconds of [`now_ms`].
    pub started_ms: u64,
}

/// A former incarnation whose next one is known.
pub struct EndedIncarnation {
    peer: Arc<Peer>,
    /// Start of the next incarnation, in milliseconds of [`now_ms`].
    next_started_ms: u64,
}

impl EndedIncarnation {
    /// Ends the requests in flight at the incarnation. To be called once the table with the next
    /// incarnation is in use: otherwise the requests could be sent again to a former one.
    pub fn end_requests(self) {
        let next_started_ms = Some(self.next_started_ms);
        self.peer.next_started_ms.send_replace(next_started_ms);
    }
}

/// Result of [`ReplicaTable::rebuild`].
pub struct RebuiltTable {
    pub table: ReplicaTable,
    /// The restarts that the records show.
    pub restarts: Vec<Restart>,
    pub ended: Vec<EndedIncarnation>,
}

/// Snapshot of all replicas with a valid record, by service.
#[derive(Default)]
pub struct ReplicaTable {
    by_service: HashMap<Arc<str>, Vec<Member>>,
    /// Incarnations that are no longer listed but still have requests in flight.
    former: HashMap<Incarnation, Weak<Peer>>,
}

impl ReplicaTable {
    /// A table of `replicas`. Replicas with the same id and start time keep their connections and
    /// load estimates; `local_ms` converts a start time to milliseconds of [`now_ms`].
    pub fn rebuild<'a>(
        &self,
        replicas: impl Iterator<Item = &'a Arc<Replica>>,
        local_ms: impl Fn(u64) -> u64,
    ) -> RebuiltTable {
        let mut known = self.known_peers();
        let mut started_ms: HashMap<ReplicaId, u64> = HashMap::new();
        let mut by_service: HashMap<Arc<str>, Vec<Member>> = HashMap::new();
        for replica in replicas {
            let peer = known.remove(&incarnation(replica)).unwrap_or_default();
            let member = Member {
                replica: Arc::clone(replica),
                peer,
            };
            if let Some(at_ms) = replica.started_ms {
                started_ms.insert(Arc::clone(&replica.id), at_ms);
            }
            by_service
                .entry(Arc::clone(&replica.service))
                .or_default()
                .push(member);
        }
        let mut former = HashMap::new();
        let mut ended = Vec::new();
        for ((id, former_started_ms), peer) in known {
            if former_started_ms.is_some()
                && let Some(next_ms) = started_ms.get(&id)
            {
                ended.push(EndedIncarnation {
                    peer: Arc::clone(&peer),
                    next_started_ms: local_ms(*next_ms),
                });
            }
            former.insert((id, former_started_ms), Arc::downgrade(&peer));
        }
        let restart = |former: &Member| {
            let next_ms = *started_ms.get(&former.replica.id)?;
            let has_restarted = next_ms > former.replica.started_ms?;
            has_restarted.then(|| Restart {
                former: Arc::clone(&former.replica),
                started_ms: local_ms(next_ms),
            })
        };
        let restarts = self.iter().filter_map(restart).collect();
        RebuiltTable {
            table: Self { by_service, former },
            restarts,
            ended,
        }
    }

    /// Peers of the listed replicas, and of former incarnations with requests in flight.
    fn known_peers(&self) -> HashMap<Incarnation, Arc<Peer>> {
        let former = self.former.iter();
        let former = former.filter_map(|(key, peer)| Some((key.clone(), peer.upgrade()?)));
        let listed = self.iter();
        let listed = listed.map(|member| (incarnation(&member.replica), Arc::clone(&member.peer)));
        former.chain(listed).collect()
    }

    /// Replicas of a service, including draining ones.
    pub fn of(&self, service: &str) -> &[Member] {
        self.by_service.get(service).map_or(&[], Vec::as_slice)
    }

    /// Replicas of all services.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.by_service.values().flatten()
    }
}

/// What the address of a replica does with a new connection.
#[key]
pub enum AddressState {
    /// It accepts the connection.
    Accepts,
    /// Nothing listens there.
    Refuses,
    /// It does not respond within the timeout.
    Unreachable,
}

/// Opens a connection to a replica and closes it: how long the replica would keep it idle is not
/// known.
pub async fn check_address(replica: &Replica) -> AddressState {
    let timeout = Duration::from_millis(CHECK_TIMEOUT_MS);
    match connect(replica.address, timeout).await {
        Ok(_) => AddressState::Accepts,
        Err(ExchangeError::Refused(_)) => AddressState::Refuses,
        Err(_) => AddressState::Unreachable,
    }
}
