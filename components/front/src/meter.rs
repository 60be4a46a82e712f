//! Counts customers' requests and appends the counts to the usage log.
//!
//! A request is counted when it ends, in the window of the time at which it was sent to the first
//! replica that ran it. Counts are written several times per window, so a front that is killed
//! loses only the last fraction of a second. A front that shuts down writes all counts before it
//! exits.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use leaving::{WorkCounter, WorkGuard};
use tokio::sync::Notify;
use usage::{Batch, CustomerSeries, Tally, UtcClock, WindowSettings};

use crate::clock::now_ms;
use crate::state::{Front, lock};
use crate::writer::write_usage;

/// How long counts are batched before they are written, in milliseconds. A longer time saves
/// appends, but a front that is killed loses the counts of this time.
const BATCH_MS: u64 = 500;
/// Interval of the samples of the wall clock, in milliseconds.
const CLOCK_SAMPLE_MS: u64 = 1_000;

#[derive(Default)]
struct Pending {
    tally: Tally,
    /// Keeps a leaving process alive until the counts are written.
    unwritten: Option<WorkGuard>,
}

/// Counts of this front that are not written yet, and the series for the metrics page.
pub struct Meter {
    windows: Option<WindowSettings>,
    clock: Mutex<UtcClock>,
    pending: Mutex<Pending>,
    series: Mutex<CustomerSeries>,
    counted: Notify,
}

impl Meter {
    /// Without `windows` only the series for the metrics page are counted.
    pub fn new(windows: Option<WindowSettings>) -> Self {
        let meter = Self {
            windows,
            clock: Mutex::default(),
            pending: Mutex::default(),
            series: Mutex::default(),
            counted: Notify::new(),
        };
        meter.sample_clock();
        meter
    }

    /// Windows of the usage reports; `None` if the settings ask for no reports.
    pub fn windows(&self) -> Option<&WindowSettings> {
        self.windows.as_ref()
    }

    /// Converts a time of [`now_ms`] to UTC, in milliseconds since 1970.
    pub fn utc_ms(&self, at_ms: u64) -> u64 {
        lock(&self.clock).at_ms(at_ms).unwrap_or(0)
    }

    fn sample_clock(&self) {
        let since_1970 = SystemTime::now().duration_since(UNIX_EPOCH);
        let wall_ms = since_1970.map_or(0, |since_1970| since_1970.as_millis() as u64);
        lock(&self.clock).sample(wall_ms, now_ms());
    }

    /// Number of requests by customer, for the metrics page.
    pub fn series(&self) -> Vec<(String, u64)> {
        lock(&self.series).rows()
    }

    fn count(&self, customer: &str, began_ms: u64, progress: &WorkCounter) {
        lock(&self.series).note(customer);
        let Some(windows) = &self.windows else { return };
        let window = windows.window_at(self.utc_ms(began_ms));
        let mut pending = lock(&self.pending);
        pending.tally.note(window, customer);
        if pending.unwritten.is_none() {
            pending.unwritten = Some(progress.begin());
        }
        self.counted.notify_one();
    }

    fn next_batch(&self) -> Option<(Batch, Option<WorkGuard>)> {
        let mut pending = lock(&self.pending);
        let batch = pending.tally.next_batch()?;
        Some((batch, pending.unwritten.take()))
    }
}

/// A customer's request with the times of its attempts. It is counted on drop, so that a request
/// whose client disconnects is counted too.
pub struct CountedRequest<'a> {
    front: &'a Front,
    customer: Option<&'a str>,
    sent: Vec<SentAt>,
}

/// When a request was sent to one replica, in milliseconds of [`now_ms`]; 0 if it was not sent or
/// certainly not run.
pub type SentAt = Arc<AtomicU64>;

impl<'a> CountedRequest<'a> {
    /// A request without attempts. It is never counted if `customer` is `None`.
    pub fn new(front: &'a Front, customer: Option<&'a str>) -> Self {
        Self {
            front,
            customer,
            sent: Vec::new(),
        }
    }

    /// Adds an attempt. The caller stores the send time in the returned value.
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
            front
                .meter
                .count(customer, first_ms, front.drain.work_counter());
        }
    }
}

/// Samples the wall clock until the process ends.
pub async fn sample_clock(front: Arc<Front>) {
    loop {
        tokio::time::sleep(Duration::from_millis(CLOCK_SAMPLE_MS)).await;
        front.meter.sample_clock();
    }
}

/// Appends counts to the usage log until the process ends. Each batch is retried until it is
/// stored, and only then is the next one created, because readers ignore a batch whose number is
/// not above that of the writer's previous one.
pub async fn write_counts(front: Arc<Front>) {
    // Batch numbers start at 1 in every process, so each process writes under an id of its own.
    let writer: u64 = rand::random();
    loop {
        front.meter.counted.notified().await;
        if !front.drain.is_leaving() {
            tokio::time::sleep(Duration::from_millis(BATCH_MS)).await;
        }
        while let Some((batch, unwritten)) = front.meter.next_batch() {
            let record = batch.record(writer);
            write_usage(&front, &record).await;
            log::debug!(event = "usage-counted", writer, number = batch.number; "");
            drop(unwritten);
        }
    }
}
