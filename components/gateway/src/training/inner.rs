//! Handles training calls at the step's home. They come from trainers connected to this entry, or
//! from other entries over the inner protocol.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONTENT_TYPE, RETRY_AFTER};
use node::now_ms;
use protocol::{Head, Open};
use samples::{Group, Step, StepKey};
use serde::Serialize;
use types::{Cause, Failure, WeightVersion};
use weights::ModelKey;

use super::bodies::{FetchBody, FetchedBody, PostedBody, SampleBody, StepBody, parse};
use super::commands::{Fetch, Post, Reply};
use super::copies::{COPIES_PATH, parse as parse_copies};
use crate::gateway::Gateway;
use crate::paths::{Route, TrainingRoute};
use crate::problem;
use crate::rejection::Rejection;

const TRAINING_PREFIX: &str = "/v1/training/";
const JSON: &str = "application/json";
pub const OK: u16 = 200;
const ACCEPTED: u16 = 202;
/// A fetch is answered this long before its deadline, so that the reply arrives in time.
const REPLY_MARGIN_MS: u64 = 250;
/// Longest wait for an announcement that was made at another entry to arrive here.
const ANNOUNCEMENT_WAIT_MS: u64 = 1_000;
/// Interval at which a waiting call checks for the announcement.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A validated call about one step.
#[derive(Clone, Debug)]
pub struct HomeCall {
    /// Id in answers and log lines.
    pub request_id: String,
    pub key: StepKey,
    pub route: TrainingRoute,
    /// Path as received from the trainer.
    pub path: String,
    /// Body as received from the trainer.
    pub body: Bytes,
    /// The trainer's deadline, on the process's monotonic clock.
    pub deadline_at_ms: u64,
}

/// Whether an inner call is a training call or sends copies of a step.
pub fn is_inner_call(open: &Open) -> bool {
    open.path.starts_with(TRAINING_PREFIX) || open.path == COPIES_PATH
}

/// Serves an inner call. The entry that sent it has already authenticated the trainer.
pub async fn serve_inner(gateway: &Arc<Gateway>, open: Open) -> Result<(Head, Bytes), Failure> {
    if open.path == COPIES_PATH {
        return receive_copies(gateway, &open).await;
    }
    let request_id = open.request_id.clone();
    let answered = match home_call(open) {
        Ok(call) => serve_at_home(gateway, &call).await,
        Err(rejection) => Err(rejection),
    };
    match answered {
        Ok(answered) => Ok(answered),
        // The refusal concerns this process, so the step's other home may accept the call.
        Err(Rejection::Call(failure)) => Err(failure),
        Err(rejection) => Ok(problem_answer(&rejection, &request_id)),
    }
}

fn home_call(open: Open) -> Result<HomeCall, Rejection> {
    let Route::Training(service, route) = Route::parse(&open.path, None)? else {
        return Err(Rejection::UnknownPath);
    };
    let step = match route {
        TrainingRoute::Fetch { step } => step,
        TrainingRoute::Steps => parse::<StepBody>(&open.body)?.step,
        TrainingRoute::Weights | TrainingRoute::Prepare | TrainingRoute::Rollback => {
            return Err(Rejection::UnknownPath);
        }
    };
    Ok(HomeCall {
        request_id: open.request_id,
        key: StepKey {
            customer: open.customer,
            service,
            step,
        },
        route,
        path: open.path,
        body: open.body,
        deadline_at_ms: now_ms() + u64::from(open.deadline_left_ms),
    })
}

async fn receive_copies(gateway: &Gateway, open: &Open) -> Result<(Head, Bytes), Failure> {
    let copies = parse_copies(&open.body).ok_or(Failure::not_run(Cause::Malformed))?;
    let received = gateway.training.receive_copies(copies).await;
    received.map_err(|rejection| rejection.failure())?;
    Ok((json_head(OK), Bytes::new()))
}

/// Serves a call about a step whose home is this entry, at least in the view of the entry that
/// forwarded the call.
pub async fn serve_at_home(
    gateway: &Arc<Gateway>,
    call: &HomeCall,
) -> Result<(Head, Bytes), Rejection> {
    match call.route {
        TrainingRoute::Steps => post_step(gateway, call).await,
        TrainingRoute::Fetch { .. } => fetch(gateway, call).await,
        TrainingRoute::Weights | TrainingRoute::Prepare | TrainingRoute::Rollback => {
            Err(Rejection::UnknownPath)
        }
    }
}

async fn post_step(gateway: &Gateway, call: &HomeCall) -> Result<(Head, Bytes), Rejection> {
    let body: StepBody = parse(&call.body)?;
    let view = gateway.feed.view();
    let model = view.service(&call.key.customer, &call.key.service).cloned();
    let model = model.ok_or(Rejection::Call(Failure::not_run(Cause::NotHosted)))?;
    let trainer_version = body.trainer_version()?;
    let max_tokens = body.max_tokens()?;
    wait_for_announcement(gateway, call, trainer_version).await?;
    let groups = body.groups.into_iter().map(|group| Group {
        prompt: group.prompt,
        samples: group.samples,
    });
    let step = Step::new(call.key.clone(), groups.collect(), max_tokens)?;
    let post = Post {
        model,
        step: Arc::new(step),
        cursor: body.cursor,
        trainer_version,
    };
    let cursor = gateway.training.post(post).await?;
    json_answer(ACCEPTED, &PostedBody { cursor: &cursor })
}

/// Refuses a trainer version that has not been announced. Staleness is measured against the newest
/// version that the trainer has named, so a mistyped version would make every sample of its step
/// too stale permanently. A version that was just announced at another entry arrives here within
/// `ANNOUNCEMENT_WAIT_MS`.
async fn wait_for_announcement(
    gateway: &Gateway,
    call: &HomeCall,
    version: WeightVersion,
) -> Result<(), Rejection> {
    let model = ModelKey {
        customer: call.key.customer.clone(),
        service: call.key.service.clone(),
    };
    let until_ms = call.deadline_at_ms.min(now_ms() + ANNOUNCEMENT_WAIT_MS);
    loop {
        let target = gateway.weights.targets().get(&model).copied();
        // No version is known while all entries have just started; the trainer's version is then
        // accepted.
        let Some(target) = target else { return Ok(()) };
        let known = target.serve.max(target.load);
        if version <= known {
            return Ok(());
        }
        if now_ms() >= until_ms {
            return Err(Rejection::VersionNotAnnounced(version, known));
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

async fn fetch(gateway: &Gateway, call: &HomeCall) -> Result<(Head, Bytes), Rejection> {
    let body: FetchBody = parse(&call.body)?;
    let (trainer_version, max, wait_ms) = (body.trainer_version()?, body.max()?, body.wait_ms());
    wait_for_announcement(gateway, call, trainer_version).await?;
    let left_ms = call.deadline_at_ms.saturating_sub(now_ms());
    let fetch = Fetch {
        key: call.key.clone(),
        cursor: body.cursor,
        trainer_version,
        max,
        wait_ms: wait_ms.min(left_ms.saturating_sub(REPLY_MARGIN_MS)),
    };
    let reply = gateway.training.fetch(fetch).await?;
    json_answer(OK, &fetched_body(&reply))
}

fn fetched_body(reply: &Reply) -> FetchedBody<'_> {
    let samples = reply.offers.iter().map(|offer| {
        let sample = &offer.sample;
        SampleBody {
            group: sample.slot.group,
            index: sample.slot.index,
            text: &sample.text,
            versions: sample.versions.iter().map(ToString::to_string).collect(),
            score: sample.score.map(samples::Score::get),
            staleness: offer.staleness,
        }
    });
    FetchedBody {
        samples: samples.collect(),
        cursor: &reply.cursor,
        received: reply.received,
        total: reply.total,
        complete: reply.complete,
    }
}

fn json_answer(status: u16, body: &impl Serialize) -> Result<(Head, Bytes), Rejection> {
    let internal = |_| Rejection::Call(Failure::not_run(Cause::Internal));
    let body = serde_json::to_vec(body).map_err(internal)?;
    Ok((json_head(status), Bytes::from(body)))
}

fn problem_answer(rejection: &Rejection, request_id: &str) -> (Head, Bytes) {
    let status = problem::status(rejection).as_u16();
    let document = problem::document(rejection, request_id);
    let mut head = head(status, problem::PROBLEM_JSON);
    if let Some(seconds) = problem::retry_after_s(rejection) {
        let header = (RETRY_AFTER.as_str().to_owned(), seconds.to_string());
        head.headers.push(header);
    }
    (head, document)
}

/// Head of a JSON answer.
pub fn json_head(status: u16) -> Head {
    head(status, JSON)
}

fn head(status: u16, content_type: &str) -> Head {
    Head {
        status,
        headers: vec![(CONTENT_TYPE.as_str().to_owned(), content_type.to_owned())],
    }
}
