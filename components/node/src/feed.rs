//! The active configuration, as far as this process knows it.
//!
//! One task owns the ledger. It receives records from the log, if this process tails the log,
//! and from peers, whose digests arrive over UDP and whose texts are fetched over the inner
//! protocol. It publishes an immutable view that requests read without locks.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use adapters::LogClient;
use arc_swap::ArcSwap;
use bytes::Bytes;
use config::{AcceptedVersion, KeepSettings, Ledger, View};
use link::Links;
use membership::TailSettings;
use protocol::{ConfigDigest, Head, Open};
use tokio::sync::{Notify, mpsc, oneshot, watch};
use types::{Cause, CustomerName, Failure};

use crate::feed_fetch::{FetchTarget, Fetcher};
use crate::feed_tail;
use crate::feed_task::{Event, FeedTask};

/// Name of the inner service that serves configuration texts to peers.
pub(crate) const TEXT_SERVICE: &str = "config-text";
/// Events that may wait for the task that owns the ledger.
const EVENTS_MAX: usize = 256;
const OK: u16 = 200;
/// Default retention of records in the platform's log.
const LOG_RETENTION_MS: u64 = 3_600_000;
/// Default of [`FeedSettings::keep_delay_ms`].
const KEEP_DELAY_MS: u64 = 15_000;
/// Time after which a peer may repeat its request if this process does not know the text.
const TEXT_RETRY_AFTER_MS: u32 = 500;

/// Accepted texts and their digests, as published by the task that owns the ledger.
#[derive(Default)]
pub(crate) struct Published {
    pub(crate) accepted: Vec<Arc<AcceptedVersion>>,
    pub(crate) digests: Arc<Vec<ConfigDigest>>,
}

/// The processes that tail the log because of their rank, as far as this process knows them.
pub(crate) struct Tailers {
    /// Address of this process.
    pub(crate) own: SocketAddr,
    /// Addresses of the tailing processes of all failure domains.
    pub(crate) all: Vec<SocketAddr>,
    /// Whether the VM list was read. Before that a process knows only itself, and each of many
    /// processes that start together would rank itself first.
    pub(crate) has_vm_list: bool,
}

/// Settings of a [`ConfigFeed`].
#[derive(Clone, Debug)]
pub struct FeedSettings {
    /// How many processes tail the log, and how.
    pub tail: TailSettings,
    /// When accepted versions are appended to the log again, before their records expire.
    pub keep: KeepSettings,
    /// Time after the start in which this process appends nothing again, in milliseconds. It
    /// needs this time to discover the other processes and what they have appended.
    pub keep_delay_ms: u64,
}

impl FeedSettings {
    /// Adapts the settings to a log that retains records for `retention_ms`.
    pub fn with_retention(self, retention_ms: u64) -> Self {
        Self {
            keep: KeepSettings::for_retention(retention_ms),
            ..self
        }
    }
}

impl Default for FeedSettings {
    fn default() -> Self {
        Self {
            tail: TailSettings::default(),
            keep: KeepSettings::for_retention(LOG_RETENTION_MS),
            keep_delay_ms: KEEP_DELAY_MS,
        }
    }
}

/// Result of comparing the accepted version of this process with the digest of a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DigestComparison {
    /// The peer has the same text or an older version.
    NotNewer,
    /// The peer has a newer version.
    Outdated,
    /// The peer has another text of the same version. One log and one set of rules cannot cause
    /// this; the causes are different rules, two logs or a damaged record. An operator must
    /// intervene.
    Diverged,
}

/// State shared by the handles and the tasks of the feed.
pub(crate) struct Shared {
    pub(crate) view: ArcSwap<View>,
    pub(crate) published: ArcSwap<Published>,
    pub(crate) changes: watch::Sender<u64>,
    /// Whether the log was read to its end once or a peer's text was adopted.
    pub(crate) initialized: AtomicBool,
    /// Whether this process has read the log to its end once.
    pub(crate) has_read_log: AtomicBool,
    /// Time of the newest read of the log by any process, on this process's clock; 0 if none is
    /// known.
    pub(crate) newest_read_ms: AtomicU64,
    /// The processes that tail the log.
    pub(crate) tailers: ArcSwap<Tailers>,
    /// Whether this process tails the log because of its rank.
    pub(crate) is_tailer: AtomicBool,
    /// Wakes the task that tails the log when `is_tailer` changes.
    pub(crate) tailer_changed: Notify,
}

/// The active configuration. Clones share one state.
#[derive(Clone)]
pub struct ConfigFeed {
    shared: Arc<Shared>,
    events: mpsc::Sender<Event>,
}

impl ConfigFeed {
    /// Starts the task that owns the ledger and the one that tails the log. Texts of peers are
    /// fetched over `links`.
    pub fn start(
        own: SocketAddr,
        log: LogClient,
        links: Links,
        settings: FeedSettings,
    ) -> ConfigFeed {
        let (events, inbox) = mpsc::channel(EVENTS_MAX);
        let ledger = Ledger::starting_at(0);
        let shared = Arc::new(Shared {
            view: ArcSwap::from_pointee(View::of(&ledger)),
            published: ArcSwap::default(),
            changes: watch::Sender::new(0),
            initialized: AtomicBool::new(false),
            has_read_log: AtomicBool::new(false),
            newest_read_ms: AtomicU64::new(0),
            tailers: ArcSwap::from_pointee(Tailers {
                own,
                all: Vec::new(),
                has_vm_list: false,
            }),
            is_tailer: AtomicBool::new(false),
            tailer_changed: Notify::new(),
        });
        let fetcher = Fetcher::new(links, events.downgrade());
        let owner = FeedTask::new(Arc::clone(&shared), ledger, fetcher, log.clone(), &settings);
        tokio::spawn(owner.run(inbox));
        tokio::spawn(feed_tail::run(
            Arc::clone(&shared),
            log,
            settings.tail,
            events.downgrade(),
        ));
        ConfigFeed { shared, events }
    }

    /// The active configuration, for use while a request is processed.
    pub fn view(&self) -> Arc<View> {
        self.shared.view.load_full()
    }

    /// The accepted texts of all customers.
    pub fn all_accepted(&self) -> Vec<Arc<AcceptedVersion>> {
        self.shared.published.load().accepted.clone()
    }

    /// The accepted text of a customer; `None` if no version is known.
    pub fn accepted(&self, customer: &CustomerName) -> Option<Arc<AcceptedVersion>> {
        let published = self.shared.published.load();
        let mut accepted = published.accepted.iter();
        accepted
            .find(|accepted| accepted.customer == *customer)
            .cloned()
    }

    /// Digests of all accepted texts, for gossip.
    pub fn digests(&self) -> Arc<Vec<ConfigDigest>> {
        Arc::clone(&self.shared.published.load().digests)
    }

    /// Notifies of every change of the view.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.shared.changes.subscribe()
    }

    /// Whether the log was read to its end once or a peer's text was adopted. Before that, a
    /// service that is not found may exist nevertheless.
    pub fn is_initialized(&self) -> bool {
        self.shared.initialized.load(Ordering::Acquire)
    }

    /// Whether this process has read the log to its end once. Before that it may lack texts of some
    /// customers, also if it has adopted those of others from peers.
    pub fn has_read_log(&self) -> bool {
        self.shared.has_read_log.load(Ordering::Acquire)
    }

    /// Whether an inner call requests a configuration text.
    pub fn is_text_call(open: &Open) -> bool {
        open.service.as_str() == TEXT_SERVICE && FetchTarget::from_path(&open.path).is_some()
    }

    /// Answers an inner call that requests a configuration text.
    pub async fn serve_text(&self, open: &Open) -> Result<(Head, Bytes), Failure> {
        let target =
            FetchTarget::from_path(&open.path).ok_or(Failure::not_run(Cause::Malformed))?;
        let (answer, text) = oneshot::channel();
        let unknown = Failure::not_run(Cause::NotHosted).retry_after(TEXT_RETRY_AFTER_MS);
        let sent = self
            .events
            .send(Event::TextRequest { target, answer })
            .await;
        sent.map_err(|_| Failure::not_run(Cause::Internal))?;
        let text = text.await.ok().flatten().ok_or(unknown)?;
        let head = Head {
            status: OK,
            headers: Vec::new(),
        };
        Ok((head, Bytes::from(text)))
    }

    /// Compares a peer's digest with the accepted version of this process. If the peer's version
    /// is newer, its text is fetched.
    pub fn observe_digest(&self, from: SocketAddr, digest: &ConfigDigest) -> DigestComparison {
        let accepted = self.accepted(&digest.customer);
        let held = accepted.as_ref().map_or(0, |accepted| accepted.version);
        if digest.version > held {
            let digest = digest.clone();
            // If the queue is full, the digest is dropped; it is gossiped again.
            let _ = self.events.try_send(Event::PeerDigest { from, digest });
            return DigestComparison::Outdated;
        }
        let differs = |accepted: &Arc<AcceptedVersion>| {
            accepted.version == digest.version && accepted.digest() != digest.digest
        };
        if accepted.as_ref().is_some_and(differs) {
            DigestComparison::Diverged
        } else {
            DigestComparison::NotNewer
        }
    }

    /// Age of the newest read of the log by any process, in milliseconds; `u32::MAX` if no read
    /// is known.
    pub(crate) fn read_age_ms(&self, now_ms: u64) -> u32 {
        match self.shared.newest_read_ms.load(Ordering::Acquire) {
            0 => u32::MAX,
            read_ms => u32::try_from(now_ms.saturating_sub(read_ms)).unwrap_or(u32::MAX),
        }
    }

    /// Records that a peer knows of a read of the log that is `age_ms` old.
    pub(crate) fn observe_peer_read(&self, age_ms: u32, now_ms: u64) {
        let read_ms = now_ms.saturating_sub(u64::from(age_ms));
        self.shared
            .newest_read_ms
            .fetch_max(read_ms, Ordering::AcqRel);
    }

    /// Sets the processes that tail the log, and derives whether this process is one of them.
    pub(crate) fn set_tailers(&self, all: Vec<SocketAddr>, has_vm_list: bool) {
        let before = self.shared.tailers.load();
        if before.all == all && before.has_vm_list == has_vm_list {
            return;
        }
        let own = before.own;
        let is_tailer = all.contains(&own);
        let tailers = Tailers {
            own,
            all,
            has_vm_list,
        };
        self.shared.tailers.store(Arc::new(tailers));
        if self.shared.is_tailer.swap(is_tailer, Ordering::AcqRel) != is_tailer {
            self.shared.tailer_changed.notify_one();
        }
    }
}
