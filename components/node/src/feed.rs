//! The configuration in force, as this process knows it.
//!
//! One task owns the ledger. It is fed by the log (where this process tails it) and by
//! peers (whose digests come over UDP and whose texts over the inner protocol), and
//! publishes an immutable view for the path of a request.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use adapters::LogClient;
use arc_swap::ArcSwap;
use bytes::Bytes;
use config::{Accepted, KeepPolicy, Ledger, View};
use link::Links;
use membership::TailSettings;
use protocol::{ConfigDigest, Head, Open};
use tokio::sync::{Notify, mpsc, oneshot, watch};
use types::{Cause, CustomerName, Failure};

use crate::feed_fetch::{Fetcher, Wanted};
use crate::feed_tail;
use crate::feed_task::{Event, FeedTask};

/// Name of the inner service that answers with configuration texts.
pub(crate) const TEXT_SERVICE: &str = "config-text";
/// Events that wait for the owner of the ledger at most.
const EVENTS_MAX: usize = 256;
const OK: u16 = 200;
/// Time for which the platform's log keeps a record where nothing else is set.
const LOG_RETENTION_MS: u64 = 3_600_000;
const KEEP_DELAY_MS: u64 = 15_000;
/// Where a peer that does not know the text may ask again, in milliseconds.
const RETRY_AFTER_MS: u32 = 500;

/// What the owner of the ledger publishes.
#[derive(Default)]
pub(crate) struct Published {
    pub(crate) accepted: Vec<Arc<Accepted>>,
    pub(crate) digests: Arc<Vec<ConfigDigest>>,
}

/// The processes that tail the log by rank, as far as known here.
pub(crate) struct Tailers {
    /// This process.
    pub(crate) own: SocketAddr,
    /// Those of all failure domains.
    pub(crate) all: Vec<SocketAddr>,
    /// The VM list stands behind it; before that a process knows only itself, and each
    /// of many that start together would take itself for the first.
    pub(crate) listed: bool,
}

/// Settings of a [`ConfigFeed`].
#[derive(Clone, Debug)]
pub struct FeedSettings {
    /// Who tails the log.
    pub tail: TailSettings,
    /// When current versions are appended again.
    pub keep: KeepPolicy,
    /// How long after its start a process appends none, in milliseconds: the time to
    /// learn of the others and of what they have appended.
    pub keep_delay_ms: u64,
}

impl FeedSettings {
    /// These settings for a log that keeps records for this long.
    pub fn with_retention(self, retention_ms: u64) -> Self {
        Self {
            keep: KeepPolicy::for_retention(retention_ms),
            ..self
        }
    }
}

impl Default for FeedSettings {
    fn default() -> Self {
        Self {
            tail: TailSettings::default(),
            keep: KeepPolicy::for_retention(LOG_RETENTION_MS),
            keep_delay_ms: KEEP_DELAY_MS,
        }
    }
}

/// What this process holds against what a peer does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DigestComparison {
    /// The same or something newer.
    NotNewer,
    /// Something older.
    Outdated,
    /// Another text of the same version, which no history of one log can bring about: two
    /// rules of judging, two logs or a damaged record. People have to look.
    Diverged,
}

/// State that handles and tasks share.
pub(crate) struct Shared {
    pub(crate) view: ArcSwap<View>,
    pub(crate) published: ArcSwap<Published>,
    pub(crate) changes: watch::Sender<u64>,
    /// The log was read to its end once, or a peer's text was adopted.
    pub(crate) initialized: AtomicBool,
    /// Newest read of the log by anybody, on this process's clock; 0 for none.
    pub(crate) newest_read_ms: AtomicU64,
    /// Who tails the log.
    pub(crate) tailers: ArcSwap<Tailers>,
    /// This process tails the log by its rank.
    pub(crate) ranks: AtomicBool,
    /// Wakes the tail after a change of rank.
    pub(crate) rank_changed: Notify,
}

/// The configuration in force. Clones share one state.
#[derive(Clone)]
pub struct ConfigFeed {
    shared: Arc<Shared>,
    events: mpsc::Sender<Event>,
}

impl ConfigFeed {
    /// Starts the owner of the ledger and the tail of the log. Texts of peers are fetched
    /// over `links`.
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
            newest_read_ms: AtomicU64::new(0),
            tailers: ArcSwap::from_pointee(Tailers {
                own,
                all: Vec::new(),
                listed: false,
            }),
            ranks: AtomicBool::new(false),
            rank_changed: Notify::new(),
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

    /// The configuration in force, for the path of a request.
    pub fn view(&self) -> Arc<View> {
        self.shared.view.load_full()
    }

    /// The accepted texts of all customers.
    pub fn all_accepted(&self) -> Vec<Arc<Accepted>> {
        self.shared.published.load().accepted.clone()
    }

    /// The accepted text of a customer.
    pub fn accepted(&self, customer: &CustomerName) -> Option<Arc<Accepted>> {
        let published = self.shared.published.load();
        let mut accepted = published.accepted.iter();
        accepted
            .find(|accepted| accepted.customer == *customer)
            .cloned()
    }

    /// What this process holds, for rumours.
    pub fn digests(&self) -> Arc<Vec<ConfigDigest>> {
        Arc::clone(&self.shared.published.load().digests)
    }

    /// Changes with every change of the view.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.shared.changes.subscribe()
    }

    /// Whether anything is known: the log was read to its end once, or a peer's text was
    /// adopted. Before that, an unknown service may only be one not heard of yet.
    pub fn is_initialized(&self) -> bool {
        self.shared.initialized.load(Ordering::Acquire)
    }

    /// Whether an inner call asks for a configuration text.
    pub fn is_text_call(open: &Open) -> bool {
        open.service.as_str() == TEXT_SERVICE && Wanted::of_path(&open.path).is_some()
    }

    /// Answers an inner call for a configuration text.
    pub async fn serve_text(&self, open: &Open) -> Result<(Head, Bytes), Failure> {
        let wanted = Wanted::of_path(&open.path).ok_or(Failure::not_run(Cause::Malformed))?;
        let (answer, text) = oneshot::channel();
        let unknown = Failure::not_run(Cause::NotHosted).retry_after(RETRY_AFTER_MS);
        let asked = self.events.send(Event::Text { wanted, answer }).await;
        asked.map_err(|_| Failure::not_run(Cause::Internal))?;
        let text = text.await.ok().flatten().ok_or(unknown)?;
        let head = Head {
            status: OK,
            headers: Vec::new(),
        };
        Ok((head, Bytes::from(text)))
    }

    /// A peer holds this; its text is fetched when it is newer than what is held here.
    pub fn observe_digest(&self, from: SocketAddr, digest: &ConfigDigest) -> DigestComparison {
        let accepted = self.accepted(&digest.customer);
        let held = accepted.as_ref().map_or(0, |accepted| accepted.version);
        if digest.version > held {
            let digest = digest.clone();
            // A full queue loses the hint until the next rumour of it.
            let _ = self.events.try_send(Event::Heard { from, digest });
            return DigestComparison::Outdated;
        }
        let differs = |accepted: &Arc<Accepted>| {
            accepted.version == digest.version && accepted.digest() != digest.digest
        };
        if accepted.as_ref().is_some_and(differs) {
            DigestComparison::Diverged
        } else {
            DigestComparison::NotNewer
        }
    }

    /// Age of the newest read of the log by anybody, in milliseconds.
    pub(crate) fn read_age_ms(&self, now_ms: u64) -> u32 {
        match self.shared.newest_read_ms.load(Ordering::Acquire) {
            0 => u32::MAX,
            read_ms => u32::try_from(now_ms.saturating_sub(read_ms)).unwrap_or(u32::MAX),
        }
    }

    /// A peer knows of a read of this age.
    pub(crate) fn heard_read(&self, age_ms: u32, now_ms: u64) {
        let read_ms = now_ms.saturating_sub(u64::from(age_ms));
        self.shared
            .newest_read_ms
            .fetch_max(read_ms, Ordering::AcqRel);
    }

    /// Says who tails the log, and whether this process is one of them.
    pub(crate) fn set_tailers(&self, all: Vec<SocketAddr>, listed: bool) {
        let before = self.shared.tailers.load();
        if before.all == all && before.listed == listed {
            return;
        }
        let own = before.own;
        let ranks = all.contains(&own);
        let tailers = Tailers { own, all, listed };
        self.shared.tailers.store(Arc::new(tailers));
        if self.shared.ranks.swap(ranks, Ordering::AcqRel) != ranks {
            self.shared.rank_changed.notify_one();
        }
    }
}
