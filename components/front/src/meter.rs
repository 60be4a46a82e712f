//! How often customers' requests begin to run, noted here and written to the log of usage.
//!
//! A count is noted when a request has ended, for the moment at which it was sent to the replica
//! that ran it first. Counts are written several times a window, so that a front that is killed
//! loses those of a moment; one that is told to stop writes them before it ends.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use leaving::{Progress, Working};
use tokio::sync::Notify;
use usage::{Batch, CustomerSeries, Tally, TrueTime, WindowSettings};

use crate::clock::now_ms;
use crate::state::{Front, lock};
use crate::writer::{append_usage, until_done};

/// How long counts are gathered before they are written, in milliseconds: what a front that is
/// killed loses, against appends of each front.
const GATHER_MS: u64 = 500;
/// How often true time is sampled, in milliseconds.
const SAMPLE_MS: u64 = 1_000;

#[derive(Default)]
struct Noted {
    tally: Tally,
    /// Keeps a leaving process until the counts are written.
    unwritten: Option<Working>,
}

/// What this front counts.
pub struct Meter {
    windows: Option<WindowSettings>,
    time: Mutex<TrueTime>,
    noted: Mutex<Noted>,
    series: Mutex<CustomerSeries>,
    news: Notify,
}

impl Meter {
    /// Counts nothing where no report is asked for.
    pub fn new(windows: Option<WindowSettings>) -> Self {
        let meter = Self {
            windows,
            time: Mutex::default(),
            noted: Mutex::default(),
            series: Mutex::default(),
            news: Notify::new(),
        };
        meter.sample();
        meter
    }

    /// Windows of the reports; none where none is asked for.
    pub fn windows(&self) -> Option<&WindowSettings> {
        self.windows.as_ref()
    }

    /// True time at a moment of the process's clock, in milliseconds.
    pub fn true_ms(&self, at_ms: u64) -> u64 {
        lock(&self.time).at_ms(at_ms).unwrap_or(0)
    }

    fn sample(&self) {
        let day = SystemTime::now().duration_since(UNIX_EPOCH);
        let day_ms = day.map_or(0, |day| day.as_millis() as u64);
        lock(&self.time).sample(day_ms, now_ms());
    }

    /// Requests by customer for the metrics page.
    pub fn series(&self) -> Vec<(String, u64)> {
        lock(&self.series).rows()
    }

    fn note(&self, customer: &str, began_ms: u64, progress: &Progress) {
        lock(&self.series).note(customer);
        let Some(windows) = &self.windows else { return };
        let window = windows.window_at(self.true_ms(began_ms));
        let mut noted = lock(&self.noted);
        noted.tally.note(window, customer);
        if noted.unwritten.is_none() {
            noted.unwritten = Some(progress.enter());
        }
        self.news.notify_one();
    }

    fn next_batch(&self) -> Option<(Batch, Option<Working>)> {
        let mut noted = lock(&self.noted);
        let batch = noted.tally.next_batch()?;
        Some((batch, noted.unwritten.take()))
    }
}

/// Where one request was sent, and when; counted when dropped, so that one whose client goes
/// away counts too.
pub struct CountedRequest<'a> {
    front: &'a Front,
    customer: Option<&'a str>,
    sent: Vec<SentAt>,
}

/// When a request was sent to one replica; 0 while it is not, or was not run.
pub type SentAt = Arc<AtomicU64>;

impl<'a> CountedRequest<'a> {
    /// A request that was sent nowhere; one that has no customer is not counted.
    pub fn new(front: &'a Front, customer: Option<&'a str>) -> Self {
        Self {
            front,
            customer,
            sent: Vec::new(),
        }
    }

    /// The next attempt.
    pub fn start_attempt(&mut self) -> SentAt {
        let sent = SentAt::default();
        self.sent.push(Arc::clone(&sent));
        sent
    }
}

impl Drop for CountedRequest<'_> {
    fn drop(&mut self) {
        let sent = self.sent.iter().map(|sent| sent.load(Ordering::Relaxed));
        let first_ms = sent.filter(|at_ms| *at_ms > 0).min();
        if let (Some(customer), Some(first_ms)) = (self.customer, first_ms) {
            let front = self.front;
            front.meter.note(customer, first_ms, front.drain.progress());
        }
    }
}

/// Samples true time until the process ends.
pub async fn keep_time(front: Arc<Front>) {
    loop {
        tokio::time::sleep(Duration::from_millis(SAMPLE_MS)).await;
        front.meter.sample();
    }
}

/// Writes counts until the process ends. A batch is written until the log has it, and the next
/// one begins behind it: readers take batches of one front in the order of their numbers.
pub async fn write_counts(front: Arc<Front>) {
    // No two lives of a front may number their batches alike.
    let writer: u64 = rand::random();
    loop {
        front.meter.news.notified().await;
        if !front.drain.is_leaving() {
            tokio::time::sleep(Duration::from_millis(GATHER_MS)).await;
        }
        while let Some((batch, unwritten)) = front.meter.next_batch() {
            let record = batch.record(writer);
            until_done(&front, "usage", || append_usage(&front, &record)).await;
            log::debug!(event = "usage-counted", writer, number = batch.number; "");
            drop(unwritten);
        }
    }
}
