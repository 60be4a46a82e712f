//! Reports of customers' usage to the platform, while this front holds the lease on orders.
//!
//! Reports use the lease of the orders: a report is announced like an order and carries the same
//! fencing token, so two fronts never alternate in reporting. The content of a report does not
//! depend on the lease holder: it is the sum of the usage records that precede the window's seal in
//! the usage log.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use index::{INDEX_PARTITION, USAGE_TOPIC, decode_usage};
use pacing::LOG_PACE;
use platform::duty::{self, DutyResponse, LeaseHolder};
use platform::settings::DutySettings;
use usage::{Change, Outcome, Report, Sender, UsageRecord, Window};

use crate::clock::now_ms;
use crate::follow::{Batch, Follower};
use crate::metrics;
use crate::state::{Front, lock};
use crate::writer::append_usage;

/// Timeout for sending a report, in milliseconds. Usually shorter than the time that an
/// announcement allows.
const SEND_TIMEOUT_MS: u64 = 800;
/// How long to wait for a seal to appear in the log before it is written again, in milliseconds.
const SEAL_RETRY_MS: u64 = 500;
/// No window is sealed within this time after the store has recovered, in milliseconds, because
/// other fronts still have to write the counts of the outage.
const RECOVERY_MS: u64 = 1_500;

/// Interval at which a front without the lease checks whether it holds it, in milliseconds.
const IDLE_POLL_MS: u64 = 200;
/// Windows are sealed and reported only if the usage log was read to its end within this time, in
/// milliseconds.
const USAGE_AGE_MS_MAX: u64 = 1_000;

/// Follows the usage log while this front holds the lease. After acquiring the lease, a front first
/// reads the records that the log still has.
pub async fn follow_usage(front: Arc<Front>) {
    if front.meter.windows().is_none() {
        return;
    }
    let copy = &front.usage_copy;
    let mut follower = Follower::new(&front, copy, USAGE_TOPIC, INDEX_PARTITION, LOG_PACE);
    loop {
        if !front.index().lease.is_held_here() {
            tokio::time::sleep(Duration::from_millis(IDLE_POLL_MS)).await;
            continue;
        }
        match follower.read().await {
            Batch::Records {
                read,
                from,
                records,
                current,
            } => {
                apply(&front, from, &records);
                if current {
                    copy.record_current(read, now_ms());
                }
                front.leader_wakeup.notify_one();
            }
            Batch::Trimmed => record_gap(&front),
            Batch::Failed => {}
        }
    }
}

fn apply(front: &Front, from: u64, records: &[Bytes]) {
    let mut usage = front.usage();
    for (offset, record) in (from..).zip(records) {
        match decode_usage(record).map(|record| usage.apply(record)) {
            Ok(Change::Late(requests)) => log::warn!(event = "usage-late", requests; ""),
            Ok(_) => {}
            Err(error) => {
                log::warn!(event = "record-malformed", topic = USAGE_TOPIC, offset, error:% = error; "")
            }
        }
    }
    if let Some(windows) = front.meter.windows() {
        let utc_ms = front.meter.utc_ms(now_ms());
        usage.note_window(windows.window_at(utc_ms));
        usage.remove_expired(windows, utc_ms);
    }
}

/// Handles records that were trimmed before they were read. Counts are incomplete up to and
/// including the current window, so this front reports only later windows.
fn record_gap(front: &Front) {
    if let Some(windows) = front.meter.windows() {
        let window = windows.window_at(front.meter.utc_ms(now_ms()));
        front.usage().mark_gap(window.next());
    }
}

/// State of sealing windows and sending reports.
pub struct Reports {
    duty: Option<DutySettings>,
    sender: Arc<Mutex<Sender>>,
    /// Windows whose seal is being written to the store, with the time at which the write started.
    sealing_ms: HashMap<Window, u64>,
    /// Number of the store's recoveries when it was last read; a change means a new recovery.
    recoveries: u64,
    /// When the store's last recovery was seen, in milliseconds of [`now_ms`].
    recovered_ms: u64,
}

impl Reports {
    /// Never reports if the settings ask for no usage reports.
    pub fn new(front: &Front) -> Self {
        Self {
            duty: front
                .settings
                .duties
                .filter(|_| front.meter.windows().is_some()),
            sender: Arc::default(),
            sealing_ms: HashMap::new(),
            recoveries: front.storage.recoveries(),
            recovered_ms: 0,
        }
    }

    /// Seals the windows that are due, and returns the report to send now, if any.
    pub fn seal_and_take_due(&mut self, front: &Arc<Front>, now_ms: u64) -> Option<Report> {
        let windows = *front.meter.windows()?;
        self.duty?;
        let recoveries = front.storage.recoveries();
        if std::mem::replace(&mut self.recoveries, recoveries) != recoveries {
            self.recovered_ms = now_ms;
        }
        let usage_age_ms = front.usage_copy.age_ms(now_ms);
        if usage_age_ms.is_none_or(|age_ms| age_ms >= USAGE_AGE_MS_MAX) {
            return None;
        }
        let utc_ms = front.meter.utc_ms(now_ms);
        let (to_seal, report) = {
            let sender = lock(&self.sender);
            let sent = |window| sender.has_sent(window);
            let usage = front.usage();
            let to_seal = usage.windows_to_seal(&windows, utc_ms);
            (to_seal, usage.report_to_send(&windows, utc_ms, sent))
        };
        let is_recovered =
            !front.storage.is_unreachable() && now_ms >= self.recovered_ms + RECOVERY_MS;
        if is_recovered {
            self.seal(front, &to_seal, now_ms);
        }
        report.filter(|_| lock(&self.sender).is_ready(now_ms))
    }

    fn seal(&mut self, front: &Arc<Front>, windows: &[Window], now_ms: u64) {
        self.sealing_ms
            .retain(|_, sent_ms| now_ms < *sent_ms + SEAL_RETRY_MS);
        for window in windows.iter().copied() {
            if self.sealing_ms.contains_key(&window) {
                continue;
            }
            self.sealing_ms.insert(window, now_ms);
            let front = Arc::clone(front);
            tokio::spawn(async move {
                if let Err(error) = append_usage(&front, &UsageRecord::Sealed { window }).await {
                    log::warn!(event = "usage-not-sealed", window = window.0, error:% = error; "");
                }
            });
        }
    }

    /// Sends a report with the lease's fencing token `fence`.
    pub fn send(&self, front: &Arc<Front>, report: Report, fence: u64) {
        let Some(duty) = self.duty else { return };
        if !lock(&self.sender).begin(&report, now_ms()) {
            return;
        }
        let (front, sender) = (Arc::clone(front), Arc::clone(&self.sender));
        tokio::spawn(async move {
            let outcome = send(&front, &duty, &report, fence).await;
            lock(&sender).finish(outcome, now_ms(), rand::random());
            front.leader_wakeup.notify_one();
            if outcome == Outcome::Accepted {
                record_reported(&front, report.window).await;
            }
        });
    }
}

async fn send(front: &Front, duty: &DutySettings, report: &Report, fence: u64) -> Outcome {
    let holder = LeaseHolder {
        node: &front.settings.node,
        fence,
    };
    let timeout = Duration::from_millis(SEND_TIMEOUT_MS);
    let sent = duty::report_usage(duty.address, &holder, report, timeout).await;
    let window = report.window.0;
    let lateness_ms = lateness_ms(front, report.window);
    match sent {
        Ok(DutyResponse::Accepted) => {
            let requests: u64 = report.counts.values().sum();
            log::info!(
                event = "usage-reported", window, fence, requests,
                customers = report.counts.len(), lateness_ms; ""
            );
            front
                .metrics
                .count("front_usage_reports_total", metrics::call_label(true), 1);
            Outcome::Accepted
        }
        Ok(answer) => {
            log::warn!(event = "usage-not-taken", window, fence, answer:? = answer; "");
            match answer {
                DutyResponse::Fenced => Outcome::Fenced,
                _ => Outcome::NotAccepted,
            }
        }
        Err(error) => {
            log::warn!(event = "usage-not-sent", window, fence, error:% = error; "");
            Outcome::NotAccepted
        }
    }
}

/// Time since the end of the window, in milliseconds.
fn lateness_ms(front: &Front, window: Window) -> u64 {
    let windows = front.meter.windows();
    let end_ms = windows.map_or(0, |windows| windows.end_ms(window));
    front.meter.utc_ms(now_ms()).saturating_sub(end_ms)
}

/// Records in the usage log that a window was reported. Without the record, the next holder of the
/// lease sends the same report again.
async fn record_reported(front: &Front, window: Window) {
    if let Err(error) = append_usage(front, &UsageRecord::Reported { window }).await {
        log::warn!(event = "usage-not-noted", window = window.0, error:% = error; "");
    }
}
