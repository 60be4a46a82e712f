//! One run of an item at one replica.

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

use crate::clock::now_us;
use crate::partial::{Partial, SharedPartial};
use crate::peers::Member;
use crate::state::lock;

/// Longest wait for the head of a run's answer, in milliseconds: an engine takes up to 24
/// requests more than it runs at once, which wait for a place.
const HEAD_MS: u64 = 4_000;
/// Longest pause between events, in milliseconds. A replica makes one each 35 ms, a slow
/// one each 150 ms; a silent one is lost.
const PAUSE_MS: u64 = 1_500;

/// What a run is asked with.
pub struct RunSpec {
    /// The item's id, which is the request's.
    pub id: String,
    /// The customer for whom it runs; none where no key was asked for.
    pub customer: Option<String>,
    /// Host of its route.
    pub host: String,
    /// What is sent.
    pub data: Arc<ItemData>,
    /// The replica.
    pub member: Member,
    /// Oldest version that may make an event.
    pub min_version: u64,
    /// Whether one version must make the whole text.
    pub single_version: bool,
    /// Time until the item is given up, in milliseconds.
    pub left_ms: u64,
    /// How fast the replica makes events.
    pub pace: Arc<EventInterval>,
    /// Learns that the replica takes items.
    pub admission: Arc<Admission>,
    /// Stops the run, so that another replica goes on.
    pub stop: Arc<Notify>,
    /// When the run was sent or made its newest event, in milliseconds.
    pub heard_ms: Arc<AtomicU64>,
}

/// How a run ended.
pub enum RunEnd {
    /// The text is whole.
    Whole,
    /// The replica did not run it.
    NotRun(String),
    /// The run broke off; another one may go on from what is there.
    Broken(String),
    /// It was stopped.
    Stopped,
    /// It was not sent: what is saved of its text can't be read now.
    Unready,
    /// The replica failed; counts as an attempt.
    Failed,
    /// It can never be done.
    Impossible,
}

/// Runs an item until the run ends; what it makes is added to `shared`.
pub async fn run(spec: &RunSpec, shared: &SharedPartial) -> RunEnd {
    let behind = lock(shared).last_event;
    let started = tokio::select! {
        started = start(spec, behind) => started,
        () = spec.stop.notified() => return RunEnd::Stopped,
    };
    let mut item_run = match started {
        Ok(ItemStart::Running(run)) => run,
        Ok(ItemStart::Ended(end, connection)) => {
            if let Some(connection) = connection {
                spec.member.peer.keep(connection, None);
            }
            return match end {
                ItemEnd::NotRun(why) => RunEnd::NotRun(why),
                ItemEnd::Failed => RunEnd::Failed,
                ItemEnd::Impossible => RunEnd::Impossible,
            };
        }
        Err(error) => return ended_by(error),
    };
    let mut last_us = None;
    loop {
        let next = tokio::select! {
            next = item_run.next(Duration::from_millis(PAUSE_MS)) => next,
            () = spec.stop.notified() => return RunEnd::Stopped,
        };
        match next {
            Ok(Some(event)) => {
                if let Err(end) = take_event(spec, &mut lock(shared), &item_run, &event) {
                    return end;
                }
                let now_us = now_us();
                spec.heard_ms.store(now_us / 1_000, Ordering::Relaxed);
                spec.admission.record_start(now_us / 1_000);
                if let Some(last_us) = last_us.replace(now_us) {
                    spec.pace.record(now_us - last_us, now_us / 1_000);
                }
            }
            // A run that goes on behind the last event of a text has no event to bring: the run
            // before it broke between that event and its end. Taken for broken, the item
            // would run again and again until its time is up.
            Ok(None) if lock(shared).last_event == 0 => {
                return RunEnd::Broken("a stream without events".to_owned());
            }
            Ok(None) => {
                if let Some((connection, keep_ms)) = item_run.finish().await {
                    spec.member.peer.keep(connection, keep_ms);
                }
                return RunEnd::Whole;
            }
            Err(error) => return ended_by(error),
        }
    }
}

fn take_event(
    spec: &RunSpec,
    partial: &mut Partial,
    run: &ItemRun,
    event: &Event,
) -> Result<(), RunEnd> {
    let expected = partial.last_event + 1;
    if event.id != expected {
        return Err(RunEnd::Broken(format!(
            "event {} instead of {expected}",
            event.id
        )));
    }
    let version = check_version(spec, partial, run)?;
    partial.push(&event.data, event.id, version);
    Ok(())
}

async fn start(spec: &RunSpec, last_event: u64) -> Result<ItemStart, ReplicaError> {
    let mut headers = replica::item_headers(&spec.data.headers)?;
    if last_event > 0 {
        replica::resume_after(&mut headers, last_event);
    }
    let connection = spec.member.peer.connection(&spec.member.replica).await?;
    let call = Call {
        method: Method::POST,
        path: &spec.data.path,
        host: &spec.host,
        headers,
        body: Bytes::copy_from_slice(&spec.data.body),
        request_id: &spec.id,
        replica_id: Arc::clone(&spec.member.replica.id),
        timeout_ms: spec.left_ms,
        customer: spec.customer.as_deref(),
        rank: None,
    };
    replica::start_item(connection, call, Duration::from_millis(HEAD_MS)).await
}

/// An event under a version that must not stand in the text ends the run before it is taken.
fn check_version(spec: &RunSpec, partial: &mut Partial, run: &ItemRun) -> Result<u64, RunEnd> {
    let Some(version) = run.version() else {
        return Err(RunEnd::Broken(
            "the replica does not say which version it has".to_owned(),
        ));
    };
    if version < spec.min_version {
        return Err(RunEnd::NotRun(format!("version {version} is too old")));
    }
    if spec.single_version && partial.versions.iter().any(|held| *held != version) {
        // The text began under another version and is no use any more.
        partial.discard();
        return Err(RunEnd::Broken(format!(
            "version {version} came in the middle"
        )));
    }
    Ok(version)
}

fn ended_by(error: ReplicaError) -> RunEnd {
    match error.is_not_run() {
        true => RunEnd::NotRun(error.to_string()),
        false => RunEnd::Broken(error.to_string()),
    }
}
