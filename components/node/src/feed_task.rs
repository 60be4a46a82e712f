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
use tokio::time::{Interval, MissedTickBehavior, interval};
use types::{CustomerName, rendezvous};

use crate::feed::{FeedSettings, Published, Shared};
use crate::feed_fetch::{Fetched, Fetcher, Wanted};
use crate::feed_tail::CONFIG_STREAM;
use crate::now_ms;

/// Fetches in progress at a time.
const FETCHES_MAX: usize = 8;
/// Time between two fetches of the list of customers, in milliseconds.
const LIST_EVERY_MS: u64 = 2_000;
/// Time between two looks for records that have to be appended again.
const KEEP_EVERY: Duration = Duration::from_secs(1);
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
        wanted: Wanted,
        fetched: Option<Fetched>,
    },
    /// A peer asks for a text.
    Text {
        wanted: Wanted,
        answer: oneshot::Sender<Option<String>>,
    },
}

pub(crate) struct FeedTask {
    shared: Arc<Shared>,
    ledger: Ledger,
    fetcher: Fetcher,
    fetching: BTreeSet<Wanted>,
    list_asked_ms: Option<u64>,
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
        Self {
            shared,
            ledger,
            fetcher,
            fetching: BTreeSet::new(),
            list_asked_ms: None,
            keeper: Keeper::new(settings.keep),
            keep_from_ms: now_ms() + settings.keep_after_ms,
            log,
        }
    }

    /// Runs until every handle is gone.
    pub(crate) async fn run(mut self, mut inbox: mpsc::Receiver<Event>) {
        let mut ticks = keep_ticks();
        loop {
            tokio::select! {
                event = inbox.recv() => match event {
                    Some(event) => self.take(event),
                    None => return,
                },
                _ = ticks.tick() => self.keep(),
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
            Event::Fetched { wanted, fetched } => self.take_fetched(&wanted, fetched),
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
        if !page.records.is_empty() {
            self.publish();
        }
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
        let held = self.ledger.current(&digest.customer);
        if held.is_some_and(|held| held.version >= digest.version) {
            return;
        }
        self.fetch(from, Wanted::Text(digest.customer.clone()));
        if self.ledger.customers_record().is_none() && self.may_ask_list() {
            self.fetch(from, Wanted::Customers);
        }
    }

    fn may_ask_list(&mut self) -> bool {
        let now_ms = now_ms();
        let asked_ms = self.list_asked_ms;
        let due = asked_ms.is_none_or(|asked_ms| now_ms.saturating_sub(asked_ms) >= LIST_EVERY_MS);
        if due {
            self.list_asked_ms = Some(now_ms);
        }
        due
    }

    fn fetch(&mut self, from: SocketAddr, wanted: Wanted) {
        // What is left out now comes with the next rumour.
        if self.fetching.len() < FETCHES_MAX && self.fetching.insert(wanted.clone()) {
            self.fetcher.fetch(from, wanted);
        }
    }

    fn take_fetched(&mut self, wanted: &Wanted, fetched: Option<Fetched>) {
        self.fetching.remove(wanted);
        let Some(fetched) = fetched else {
            return;
        };
        let verdict = match fetched {
            Fetched::Text(keep) => self.ledger.adopt(&keep),
            Fetched::Customers(customers) => self.ledger.adopt_customers(&customers),
        };
        note(self.ledger.next_offset(), &verdict);
        if matches!(verdict, Verdict::Learned { .. }) {
            self.shared.known.store(true, Ordering::Release);
            self.publish();
        }
    }

    fn text(&self, wanted: &Wanted) -> Option<String> {
        let record = match wanted {
            Wanted::Text(customer) => Record::Keep(self.ledger.keep_record(customer)?),
            Wanted::Customers => Record::Customers(self.ledger.customers_record()?),
        };
        record.to_json().ok()
    }

    fn publish(&self) {
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
