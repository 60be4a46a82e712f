//! The owner of the ledger: takes in records and peers' texts and publishes the view.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use config::{Keeper, Ledger, Record, Verdict, View};
use platform::{LogClient, LogPage, LogRecord};
use protocol::ConfigDigest;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Interval, MissedTickBehavior, interval, sleep};
use types::{CustomerName, rendezvous};

use crate::feed::{FeedSettings, Published, Shared};
use crate::feed_fetch::{Fetched, Fetcher, HeldVersion, Wanted};
use crate::feed_tail::CONFIG_STREAM;
use crate::now_ms;

/// Fetches in progress at a time.
const FETCHES_MAX: usize = 8;
/// Time between two fetches of the list of customers, in milliseconds.
const LIST_EVERY_MS: u64 = 2_000;
/// Time between two fetches of all versions of a peer, in milliseconds.
const VERSIONS_EVERY_MS: u64 = 1_000;
/// Time between two looks for records that have to be appended again.
const KEEP_EVERY: Duration = Duration::from_secs(1);
/// Shortest time between two views, in milliseconds. A view is built of all texts, so one
/// for each of many texts in a row would cost their square.
const PUBLISH_EVERY_MS: u64 = 100;
/// Key of the list of customers in the ranking of those who append it again.
const LIST_KEY: &str = "customers";

/// What the owner of the ledger hears.
pub(crate) enum Event {
    /// Records of the log.
    Page {
        page: LogPage,
        /// The read came to the stream's end.
        at_end: bool,
        /// The read began at the stream's end, so that its records are new.
        is_new: bool,
    },
    /// A peer holds this.
    Heard {
        from: SocketAddr,
        digest: ConfigDigest,
    },
    /// A fetch ended.
    Fetched {
        from: SocketAddr,
        wanted: Wanted,
        fetched: Option<Fetched>,
    },
    /// A peer asks for a text.
    Text {
        wanted: Wanted,
        answer: oneshot::Sender<Option<String>>,
    },
}

/// A text that a peer holds in a newer version.
#[derive(Clone, Copy)]
struct Newer {
    from: SocketAddr,
    version: u64,
}

pub(crate) struct FeedTask {
    shared: Arc<Shared>,
    ledger: Ledger,
    fetcher: Fetcher,
    fetching: BTreeSet<Wanted>,
    /// Newer texts of peers that wait for a place among the fetches.
    waiting: BTreeMap<CustomerName, Newer>,
    list_asked_ms: Option<u64>,
    versions_asked_ms: Option<u64>,
    /// The last list of versions brought something newer.
    is_behind: bool,
    /// Newer versions that peers told of since the last list was asked for.
    newer_heard: usize,
    newer_from: SocketAddr,
    /// The ledger has more than the newest view.
    unpublished: bool,
    published_ms: Option<u64>,
    keeper: Keeper,
    /// Nothing is appended again before this time.
    keep_from_ms: u64,
    log: LogClient,
}

impl FeedTask {
    pub(crate) fn new(
        shared: Arc<Shared>,
        ledger: Ledger,
        fetcher: Fetcher,
        log: LogClient,
        settings: &FeedSettings,
    ) -> Self {
        let own = shared.tailers.load().own;
        Self {
            shared,
            ledger,
            fetcher,
            fetching: BTreeSet::new(),
            waiting: BTreeMap::new(),
            list_asked_ms: None,
            versions_asked_ms: None,
            is_behind: false,
            newer_heard: 0,
            newer_from: own,
            unpublished: false,
            published_ms: None,
            keeper: Keeper::new(settings.keep),
            keep_from_ms: now_ms() + settings.keep_after_ms,
            log,
        }
    }

    /// Runs until every handle is gone.
    pub(crate) async fn run(mut self, mut inbox: mpsc::Receiver<Event>) {
        let mut ticks = keep_ticks();
        loop {
            let publish_in = Duration::from_millis(self.publish_in_ms());
            tokio::select! {
                event = inbox.recv() => match event {
                    Some(event) => self.take(event),
                    None => return,
                },
                _ = ticks.tick() => self.tick(),
                () = sleep(publish_in), if self.unpublished => {}
            }
            if self.unpublished && self.publish_in_ms() == 0 {
                self.publish();
            }
        }
    }

    fn take(&mut self, event: Event) {
        match event {
            Event::Page {
                page,
                at_end,
                is_new,
            } => self.take_page(&page, at_end, is_new),
            Event::Heard { from, digest } => self.take_digest(from, &digest),
            Event::Fetched {
                from,
                wanted,
                fetched,
            } => self.take_fetched(from, &wanted, fetched),
            Event::Text { wanted, answer } => {
                // Whoever asked may have given up meanwhile.
                let _ = answer.send(self.text(&wanted));
            }
        }
    }

    fn take_page(&mut self, page: &LogPage, at_end: bool, is_new: bool) {
        self.ledger.skip_to(page.first);
        for record in &page.records {
            self.take_record(record, is_new);
        }
        if at_end {
            self.keeper.on_end_read(now_ms());
            self.shared.known.store(true, Ordering::Release);
        }
        self.unpublished |= !page.records.is_empty();
    }

    fn take_record(&mut self, stored: &LogRecord, is_new: bool) {
        let record = Record::from_json(&stored.data);
        let verdict = match &record {
            Ok(record) => self.ledger.apply(stored.offset, record),
            Err(_) => self.ledger.apply_json(stored.offset, &stored.data),
        };
        note(stored.offset, &verdict);
        if let Ok(record) = &record {
            self.keeper
                .on_record(&self.ledger, record, is_new, now_ms());
        }
    }

    fn tick(&mut self) {
        self.ask_versions();
        self.keep();
    }

    /// Appends again what the log would forget, where it is this process's turn.
    fn keep(&mut self) {
        if now_ms() < self.keep_from_ms {
            return;
        }
        let shared = Arc::clone(&self.shared);
        let rank = |customer: Option<&CustomerName>| keep_rank(&shared, customer);
        let due = self.keeper.due(&self.ledger, now_ms(), rank);
        if due.is_empty() {
            return;
        }
        let log = self.log.clone();
        tokio::spawn(async move {
            for record in due {
                append(&log, &record).await;
            }
        });
    }

    fn take_digest(&mut self, from: SocketAddr, digest: &ConfigDigest) {
        let newer = Newer {
            from,
            version: digest.version,
        };
        if !self.is_newer(&digest.customer, digest.version) {
            return;
        }
        self.newer_heard += 1;
        self.newer_from = from;
        self.take_newer(digest.customer.clone(), newer);
        if self.ledger.customers_record().is_none() && self.may_ask_list() {
            self.fetch(from, Wanted::Customers);
        }
    }

    /// Asks a peer for all versions that it holds.
    ///
    /// Rumours carry some ten digests in a datagram. After many publishes in a row those
    /// not told yet would come after minutes, so whoever heard of one asks for all: the
    /// peer that told of a single one, which spreads the load, else a reader of the log.
    fn ask_versions(&mut self) {
        let several = self.is_behind || self.newer_heard > 1;
        if !several && self.newer_heard == 0 {
            return;
        }
        if may_ask(&mut self.versions_asked_ms, VERSIONS_EVERY_MS) {
            let peer = self.newer_from;
            let from = if several { self.reader_or(peer) } else { peer };
            self.newer_heard = 0;
            self.fetcher.fetch(from, Wanted::Versions);
        }
    }

    fn take_newer(&mut self, customer: CustomerName, newer: Newer) {
        if !self.is_newer(&customer, newer.version) {
            return;
        }
        let wanted = Wanted::Text(customer.clone());
        if !self.fetching.contains(&wanted) && !self.fetch(newer.from, wanted) {
            self.waiting.insert(customer, newer);
        }
    }

    fn is_newer(&self, customer: &CustomerName, version: u64) -> bool {
        let held = self.ledger.current(customer);
        held.is_none_or(|held| held.version < version)
    }

    /// A process that reads the log and so holds what there is, else the one at hand.
    fn reader_or(&self, peer: SocketAddr) -> SocketAddr {
        let tailers = self.shared.tailers.load();
        let others = tailers
            .all
            .iter()
            .filter(|&&address| address != tailers.own);
        let spread = usize::from(tailers.own.port());
        let count = others.clone().count().max(1);
        others.copied().nth(spread % count).unwrap_or(peer)
    }

    fn may_ask_list(&mut self) -> bool {
        may_ask(&mut self.list_asked_ms, LIST_EVERY_MS)
    }

    /// Starts a fetch; false when there is no place for it.
    fn fetch(&mut self, from: SocketAddr, wanted: Wanted) -> bool {
        let starts = self.fetching.len() < FETCHES_MAX && self.fetching.insert(wanted.clone());
        if starts {
            self.fetcher.fetch(from, wanted);
        }
        starts
    }

    fn fetch_waiting(&mut self) {
        while self.fetching.len() < FETCHES_MAX {
            let Some((customer, newer)) = self.waiting.pop_first() else {
                return;
            };
            self.take_newer(customer, newer);
        }
    }

    fn take_versions(&mut self, from: SocketAddr, versions: Vec<HeldVersion>) {
        let newer = |held: &HeldVersion| self.is_newer(&held.customer, held.version);
        // The peer may have been behind itself; who learned from it asks once more.
        self.is_behind = versions.iter().any(newer);
        for HeldVersion { customer, version } in versions {
            self.take_newer(customer, Newer { from, version });
        }
    }

    fn take_fetched(&mut self, from: SocketAddr, wanted: &Wanted, fetched: Option<Fetched>) {
        self.fetching.remove(wanted);
        if let Some(fetched) = fetched {
            self.adopt(from, fetched);
        }
        self.fetch_waiting();
    }

    fn adopt(&mut self, from: SocketAddr, fetched: Fetched) {
        let verdict = match fetched {
            Fetched::Text(keep) => self.ledger.adopt(&keep),
            Fetched::Customers(customers) => self.ledger.adopt_customers(&customers),
            Fetched::Versions(versions) => return self.take_versions(from, versions),
        };
        note(self.ledger.next_offset(), &verdict);
        if matches!(verdict, Verdict::Learned { .. }) {
            self.shared.known.store(true, Ordering::Release);
            self.unpublished = true;
        }
    }

    fn text(&self, wanted: &Wanted) -> Option<String> {
        let record = match wanted {
            Wanted::Text(customer) => Record::Keep(self.ledger.keep_record(customer)?),
            Wanted::Customers => Record::Customers(self.ledger.customers_record()?),
            Wanted::Versions => return serde_json::to_string(&self.versions()).ok(),
        };
        record.to_json().ok()
    }

    fn versions(&self) -> Vec<HeldVersion> {
        let accepted = self.ledger.all();
        accepted
            .map(|accepted| HeldVersion {
                customer: accepted.customer.clone(),
                version: accepted.version,
            })
            .collect()
    }

    /// How long to wait before the next view may be built.
    fn publish_in_ms(&self) -> u64 {
        let next_ms = self
            .published_ms
            .map_or(0, |at_ms| at_ms + PUBLISH_EVERY_MS);
        next_ms.saturating_sub(now_ms())
    }

    fn publish(&mut self) {
        self.unpublished = false;
        self.published_ms = Some(now_ms());
        let accepted: Vec<_> = self.ledger.all().cloned().collect();
        let digests = accepted.iter().map(|accepted| ConfigDigest {
            customer: accepted.customer.clone(),
            version: accepted.version,
            digest: accepted.digest(),
        });
        let digests: Arc<Vec<_>> = Arc::new(digests.collect());
        if *digests == *self.shared.published.load().digests {
            return;
        }
        note_versions(&digests);
        self.shared.view.store(Arc::new(View::of(&self.ledger)));
        self.shared
            .published
            .store(Arc::new(Published { accepted, digests }));
        self.shared.changes.send_modify(|changes| *changes += 1);
    }
}

/// Whether something that was asked for at `asked_ms` may be asked for again; notes it.
fn may_ask(asked_ms: &mut Option<u64>, every_ms: u64) -> bool {
    let now_ms = now_ms();
    let due = asked_ms.is_none_or(|asked_ms| now_ms.saturating_sub(asked_ms) >= every_ms);
    if due {
        *asked_ms = Some(now_ms);
    }
    due
}

fn keep_ticks() -> Interval {
    let mut ticks = interval(KEEP_EVERY);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    ticks
}

/// Rank of this process among those that tail the log, for one customer or the list.
fn keep_rank(shared: &Shared, customer: Option<&CustomerName>) -> Option<u32> {
    let tailers = shared.tailers.load();
    if !tailers.listed {
        return None;
    }
    let key = customer.map_or(LIST_KEY, CustomerName::as_str);
    let ranked = rendezvous::ranked(key.as_bytes(), tailers.all.iter().copied());
    let rank = ranked.iter().position(|&address| address == tailers.own)?;
    u32::try_from(rank).ok()
}

async fn append(log: &LogClient, record: &Record) {
    let Ok(text) = record.to_json() else {
        return;
    };
    // Whatever became of it, the reader sees whether the record is there, and the
    // keeper's time decides when the next process tries.
    if let Err(error) = log.append(CONFIG_STREAM, &text).await {
        log::warn!(event = "config-unkept", reason:% = error; "");
    }
}

fn note_versions(digests: &[ConfigDigest]) {
    let versions: BTreeMap<&str, u64> = digests
        .iter()
        .map(|digest| (digest.customer.as_str(), digest.version))
        .collect();
    log::info!(event = "config-in-force", versions:? = versions; "");
}

fn note(offset: u64, verdict: &Verdict) {
    match verdict {
        Verdict::Conflict { .. } | Verdict::RulesTooNew { .. } => {
            log::error!(event = "config-conflict", offset, verdict:? = verdict; "");
        }
        Verdict::Refused(_) => log::info!(event = "config-refused", offset; ""),
        _ => log::debug!(event = "config-verdict", offset, verdict:? = verdict; ""),
    }
}
