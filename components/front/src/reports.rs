//! The duty of reporting customers' usage, while this front holds the lease on orders.
//!
//! The lease is the one that orders have: a report is announced like an order and goes out
//! under the same fencing number, so two fronts never report in turns. What a report says is not
//! the holder's: it is what stands in the log of usage before the seal of its window.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use index::{INDEX_PARTITION, USAGE_TOPIC, decode_usage};
use pacing::LOG_PACE;
use platform::duty::{self, DutyAnswer, Holder};
use platform::settings::DutySettings;
use usage::{Change, Outcome, Report, Sender, UsageRecord, Window};

use crate::clock::now_ms;
use crate::follow::{Batch, Follower};
use crate::metrics;
use crate::state::{Front, lock};
use crate::writer::append_usage;

/// Longest time for sending a report, in milliseconds; within the time that an announcement
/// allows, as a rule.
const SEND_MS: u64 = 800;
/// How long an unanswered seal is waited for, in milliseconds.
const SEAL_AGAIN_MS: u64 = 500;
/// How long after the store came back a window is sealed at the earliest, in milliseconds: other
/// fronts write then what they counted meanwhile.
const RETURN_MS: u64 = 1_500;

/// How often a front that does not hold the lease looks whether it does, in milliseconds.
const IDLE_MS: u64 = 200;
/// How old the knowledge of usage may be for sealing and sending, in milliseconds.
const USAGE_AGE_MS_MAX: u64 = 1_000;

/// Follows the log of usage while this front holds the lease. One that takes the lease reads what
/// is kept of it first.
pub async fn follow_usage(front: Arc<Front>) {
    if front.meter.windows().is_none() {
        return;
    }
    let mut follower = Follower::new(&front, USAGE_TOPIC, INDEX_PARTITION, LOG_PACE);
    loop {
        if !front.index().lease.is_held_here() {
            tokio::time::sleep(Duration::from_millis(IDLE_MS)).await;
            continue;
        }
        match follower.read().await {
            Batch::Records {
                from,
                records,
                current,
            } => {
                apply(&front, from, &records);
                if current {
                    front.mark_usage_current(now_ms());
                }
                front.leader_wakeup.notify_one();
            }
            Batch::Trimmed => skipped(&front),
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
        let true_ms = front.meter.true_ms(now_ms());
        usage.saw(windows.window_at(true_ms));
        usage.forget(windows, true_ms);
    }
}

/// Records were lost: the window that goes on now is the last one that is known in part.
fn skipped(front: &Front) {
    if let Some(windows) = front.meter.windows() {
        let window = windows.window_at(front.meter.true_ms(now_ms()));
        front.usage().skipped(window.next());
    }
}

/// The reports of this front.
pub struct Reports {
    duty: Option<DutySettings>,
    sender: Arc<Mutex<Sender>>,
    sealing_ms: HashMap<Window, u64>,
    returns: u64,
    returned_ms: u64,
}

impl Reports {
    /// Nothing was reported.
    pub fn new(front: &Front) -> Self {
        Self {
            duty: front
                .settings
                .duties
                .filter(|_| front.meter.windows().is_some()),
            sender: Arc::default(),
            sealing_ms: HashMap::new(),
            returns: front.storage.recoveries(),
            returned_ms: 0,
        }
    }

    /// Seals windows whose time has come, and gives the report that is to go out now.
    pub fn look(&mut self, front: &Arc<Front>, now_ms: u64) -> Option<Report> {
        let windows = *front.meter.windows()?;
        self.duty?;
        let returns = front.storage.recoveries();
        if std::mem::replace(&mut self.returns, returns) != returns {
            self.returned_ms = now_ms;
        }
        if front.usage_age_ms(now_ms) >= USAGE_AGE_MS_MAX {
            return None;
        }
        let true_ms = front.meter.true_ms(now_ms);
        let (to_seal, report) = {
            let sender = lock(&self.sender);
            let sent = |window| sender.has_sent(window);
            let usage = front.usage();
            let to_seal = usage.to_seal(&windows, true_ms);
            (to_seal, usage.to_send(&windows, true_ms, sent))
        };
        let settled = !front.storage.is_unavailable() && now_ms >= self.returned_ms + RETURN_MS;
        if settled {
            self.seal(front, &to_seal, now_ms);
        }
        report.filter(|_| lock(&self.sender).is_free(now_ms))
    }

    fn seal(&mut self, front: &Arc<Front>, windows: &[Window], now_ms: u64) {
        self.sealing_ms
            .retain(|_, sent_ms| now_ms < *sent_ms + SEAL_AGAIN_MS);
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

    /// Sends a report under a fencing number that allows it now.
    pub fn send(&self, front: &Arc<Front>, report: Report, fence: u64) {
        let Some(duty) = self.duty else { return };
        if !lock(&self.sender).begin(&report, now_ms()) {
            return;
        }
        let (front, sender) = (Arc::clone(front), Arc::clone(&self.sender));
        tokio::spawn(async move {
            let outcome = send(&front, &duty, &report, fence).await;
            lock(&sender).ended(outcome, now_ms(), rand::random());
            front.leader_wakeup.notify_one();
            if outcome == Outcome::Taken {
                note_reported(&front, report.window).await;
            }
        });
    }
}

async fn send(front: &Front, duty: &DutySettings, report: &Report, fence: u64) -> Outcome {
    let holder = Holder {
        node: &front.settings.node,
        fence,
    };
    let within = Duration::from_millis(SEND_MS);
    let sent = duty::report_usage(duty.address, &holder, report, within).await;
    let window = report.window.0;
    let lateness_ms = lateness_ms(front, report.window);
    match sent {
        Ok(DutyAnswer::Taken) => {
            let requests: u64 = report.counts.values().sum();
            log::info!(
                event = "usage-reported", window, fence, requests,
                customers = report.counts.len(), lateness_ms; ""
            );
            front
                .metrics
                .count("front_usage_reports_total", metrics::call_label(true), 1);
            Outcome::Taken
        }
        Ok(answer) => {
            log::warn!(event = "usage-not-taken", window, fence, answer:? = answer; "");
            match answer {
                DutyAnswer::Fenced => Outcome::Fenced,
                _ => Outcome::NotTaken,
            }
        }
        Err(error) => {
            log::warn!(event = "usage-not-sent", window, fence, error:% = error; "");
            Outcome::NotTaken
        }
    }
}

/// How long after the end of its window a report goes out, in milliseconds.
fn lateness_ms(front: &Front, window: Window) -> u64 {
    let windows = front.meter.windows();
    let end_ms = windows.map_or(0, |windows| windows.end_ms(window));
    front.meter.true_ms(now_ms()).saturating_sub(end_ms)
}

/// Tells the next holder; without the record it sends the same report once more.
async fn note_reported(front: &Front, window: Window) {
    if let Err(error) = append_usage(front, &UsageRecord::Reported { window }).await {
        log::warn!(event = "usage-not-noted", window = window.0, error:% = error; "");
    }
}
