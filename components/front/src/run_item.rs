//! One run of an item: sends the item to a replica and appends the events of its stream to the
//! item's partial text. A run that follows an interrupted one resumes after the last event.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use dispatch::{Admission, EventInterval};
use hyper::Method;
use platform::replica::{self, Call, ItemEnd, ItemRun, ItemStart, ReplicaError};
use platform::sse::Event;
use steps::ItemData;
use tokio::sync::Notify;

use crate::calls::CRASHED_AT_END;
use crate::clock::now_us;
use crate::partial::{CompleteText, PartialText, SharedPartialText};
use crate::peers::{Member, new_connection};
use crate::replica_pace::SharedPace;
use crate::silence::SilenceWatch;
use crate::state::{Front, lock};
use crate::suspects::{self, LossCheck};

/// Timeout of the head of a replica's response. An engine queues up to 24 requests beyond those
/// that it runs, and answers a queued request only once it has a free slot.
const HEAD_TIMEOUT_MS: u64 = 4_000;
/// Longest interval between events. A replica produces one every 35 ms, a slow replica one every
/// 150 ms; after a longer silence the replica counts as lost.
const EVENT_TIMEOUT_MS: u64 = 1_500;

/// Parameters of a run.
pub struct RunSpec {
    /// The trainer's id of the item, which is also the request id.
    pub id: String,
    /// Customer that submitted the step; `None` if the front requires no key.
    pub customer: Option<String>,
    /// Host of the route.
    pub host: String,
    /// Path, headers and body of the request.
    pub data: Arc<ItemData>,
    /// The replica and this front's connections to it.
    pub member: Member,
    /// Oldest version of the weights that may generate events.
    pub min_version: u64,
    /// Whether a single version must generate the whole text.
    pub single_version: bool,
    /// Time until the item is abandoned.
    pub left_ms: u64,
    /// The replica's mean interval between events; each event of this run updates it.
    pub event_interval: Arc<EventInterval>,
    /// The replica's pace; each event of this run updates it.
    pub pace: Arc<SharedPace>,
    /// The replica's admission state for the model; each event marks it as accepting items.
    pub admission: Arc<Admission>,
    /// Stops the run when notified, so that the item can resume at another replica.
    pub stop: Arc<Notify>,
    /// When the run was sent or received its last event, on the process's clock.
    pub last_progress_ms: Arc<AtomicU64>,
}

/// How a run ended.
pub enum RunEnd {
    /// The text is complete. It comes with the end: the runner may have dropped the item meanwhile,
    /// or have begun its text anew.
    Complete(CompleteText),
    /// The replica did not run the request, or its version is too old for the step.
    NotRun(String),
    /// The stream broke off; another run may resume after the last event.
    Interrupted(String),
    /// The replica stayed silent, or its machine was lost; another run may resume likewise.
    Silent(String),
    /// The replica crashed before the first event of the run.
    Crashed(String),
    /// [`RunSpec::stop`] was notified.
    Stopped,
    /// Nothing was sent, because the saved pieces of the text could not be read.
    PiecesUnreadable,
    /// The replica answered that the run failed; counts towards the route's attempt limit.
    Failed,
    /// The replica rejected the item for good.
    Impossible,
}

impl RunEnd {
    /// Name for log lines.
    pub fn name(&self) -> &'static str {
        match self {
            RunEnd::Complete(_) => "complete",
            RunEnd::NotRun(_) => "not-run",
            RunEnd::Interrupted(_) => "interrupted",
            RunEnd::Silent(_) => "silent",
            RunEnd::Crashed(_) => "crashed",
            RunEnd::Stopped => "stopped",
            RunEnd::PiecesUnreadable => "pieces-unreadable",
            RunEnd::Failed => "failed",
            RunEnd::Impossible => "impossible",
        }
    }
}

/// Runs an item at one replica until the run ends; appends its events to `shared`.
pub async fn run(front: &Front, spec: &RunSpec, shared: &SharedPartialText) -> RunEnd {
    let mut silence = SilenceWatch::start(&spec.member);
    let had_events = lock(shared).last_event;
    let end = run_to_end(front, spec, shared, &mut silence).await;
    if silence.is_silent() {
        lock(shared).needs_new_connection = true;
    }
    drop(silence);
    let is_before_events = lock(shared).last_event == had_events;
    match end {
        RunEnd::Interrupted(why) if is_before_events => {
            match suspects::check_after_broken_run(front, &spec.member).await {
                LossCheck::Crashed => RunEnd::Crashed(why),
                _ => RunEnd::Interrupted(why),
            }
        }
        end => end,
    }
}

/// Runs an item until the run ends.
async fn run_to_end(
    front: &Front,
    spec: &RunSpec,
    shared: &SharedPartialText,
    silence: &mut SilenceWatch,
) -> RunEnd {
    let (last_event, needs_new_connection) = {
        let partial = lock(shared);
        (partial.last_event, partial.needs_new_connection)
    };
    let sent_ms = now_us() / 1_000;
    let restarted = spec.member.peer.wait_for_restart(sent_ms);
    let mut restarted = std::pin::pin!(restarted);
    let restarted_end = || RunEnd::Silent("the replica restarted".to_owned());
    let started = tokio::select! {
        started = start(spec, last_event, needs_new_connection) => started,
        () = spec.stop.notified() => return RunEnd::Stopped,
        () = restarted.as_mut() => return restarted_end(),
    };
    silence.record_outcome(&started);
    let started = match started {
        Ok(started) => started,
        Err(error) => return end_for_error(error),
    };
    lock(shared).needs_new_connection = false;
    let mut item_run = match started {
        ItemStart::Running(run) => run,
        ItemStart::Ended(end, connection) => {
            if let Some(connection) = connection {
                spec.member.peer.return_connection(connection, None);
            }
            return match end {
                ItemEnd::NotRun(why) => RunEnd::NotRun(why),
                ItemEnd::Failed => RunEnd::Failed,
                ItemEnd::Impossible => RunEnd::Impossible,
            };
        }
    };
    let mut last_event_us = None;
    loop {
        let next = tokio::select! {
            next = item_run.next(Duration::from_millis(EVENT_TIMEOUT_MS)) => next,
            () = spec.stop.notified() => return RunEnd::Stopped,
            () = restarted.as_mut() => return restarted_end(),
        };
        silence.record_outcome(&next);
        match next {
            Ok(Some(event)) => {
                if let Err(end) = append_event(front, spec, &mut lock(shared), &item_run, &event) {
                    return end;
                }
                let now_us = now_us();
                spec.last_progress_ms
                    .store(now_us / 1_000, Ordering::Relaxed);
                spec.admission.record_start(now_us / 1_000);
                if let Some(previous_us) = last_event_us.replace(now_us) {
                    let (interval_us, now_ms) = (now_us - previous_us, now_us / 1_000);
                    spec.event_interval.record(interval_us, now_ms);
                    spec.pace
                        .record(&spec.member.replica.id, interval_us, now_ms);
                }
            }
            Ok(None) if lock(shared).last_event == 0 => {
                return RunEnd::Interrupted("the stream ended without events".to_owned());
            }
            Ok(None)
                if item_run.ends_with_connection()
                    && suspects::has_crashed(front, &spec.member).await =>
            {
                return RunEnd::Interrupted(CRASHED_AT_END.to_owned());
            }
            // Also complete if this run had no events: the previous run may have broken between
            // the last event of the text and the end of its stream. If such a run counted as
            // interrupted, the item would run again and again until its time is up.
            Ok(None) => {
                if let Some((connection, keep_ms)) = item_run.finish().await {
                    spec.member.peer.return_connection(connection, keep_ms);
                }
                // Taken after the last wait, at which the task may be aborted.
                let complete = lock(shared).take_complete();
                let taken_over = || RunEnd::Interrupted("another run has the text".to_owned());
                return complete.map_or_else(taken_over, RunEnd::Complete);
            }
            Err(error) => return end_for_error(error),
        }
    }
}

/// Appends an event to the text, if it is the next one and of a version that the item may use.
fn append_event(
    front: &Front,
    spec: &RunSpec,
    partial: &mut PartialText,
    run: &ItemRun,
    event: &Event,
) -> Result<(), RunEnd> {
    let expected = partial.last_event + 1;
    if event.id != expected {
        return Err(RunEnd::Interrupted(format!(
            "the stream has event {} where event {expected} was expected",
            event.id
        )));
    }
    let version = check_version(spec, partial, run)?;
    if !partial.try_reserve(front, event.data.len()) {
        partial.discard();
        return Err(RunEnd::Interrupted("the text is too long".to_owned()));
    }
    partial.push(&event.data, event.id, version);
    Ok(())
}

async fn start(
    spec: &RunSpec,
    last_event: u64,
    needs_new_connection: bool,
) -> Result<ItemStart, ReplicaError> {
    let mut headers = replica::item_headers(&spec.data.headers)?;
    if last_event > 0 {
        replica::resume_after(&mut headers, last_event);
    }
    let Member { replica, peer } = &spec.member;
    let connection = match needs_new_connection {
        true => new_connection(replica).await?,
        false => peer.connection(replica, &spec.id).await?,
    };
    let call = Call {
        method: Method::POST,
        path: &spec.data.path,
        host: &spec.host,
        headers,
        body: Bytes::copy_from_slice(&spec.data.body),
        request_id: &spec.id,
        replica_id: Arc::clone(&replica.id),
        timeout_ms: spec.left_ms,
        customer: spec.customer.as_deref(),
        rank: None,
    };
    replica::start_item(connection, call, Duration::from_millis(HEAD_TIMEOUT_MS)).await
}

/// The version of the weights that generated the current event. A version that the item must not
/// use ends the run before the event is appended.
fn check_version(spec: &RunSpec, partial: &mut PartialText, run: &ItemRun) -> Result<u64, RunEnd> {
    let Some(version) = run.version() else {
        return Err(RunEnd::Interrupted(
            "the replica's response names no version of the weights".to_owned(),
        ));
    };
    if version < spec.min_version {
        return Err(RunEnd::NotRun(format!(
            "the replica has version {version}, which is older than the step allows"
        )));
    }
    if spec.single_version && partial.versions.iter().any(|known| *known != version) {
        // The existing text is of another version, so the item has to restart.
        partial.discard();
        return Err(RunEnd::Interrupted(format!(
            "an event of version {version} follows events of another version"
        )));
    }
    Ok(version)
}

fn end_for_error(error: ReplicaError) -> RunEnd {
    match error {
        _ if error.is_not_run() => RunEnd::NotRun(error.to_string()),
        ReplicaError::Timeout(_) => RunEnd::Silent(error.to_string()),
        _ => RunEnd::Interrupted(error.to_string()),
    }
}
