//! Submission and end of a trainer's step.
//!
//! A step is accepted once its record is in the index. The data of its items is written before
//! that: if that write fails, the step does not exist, and the refusal is final. If the append of
//! the record gets no answer, the record may still be stored seconds later. From then on the
//! client gets either the acceptance or an answer that leaves the outcome open (504).

mod append;
mod data;

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use dispatch::{Route, RouteKind, Routes};
use hyper::StatusCode;
use index::LogRecord;
use orders::SLOTS_PER_ITEM;
use platform::jobs::{self, Submission};
use steps::{DataRange, StepHead, StepId, StepRecord};

use self::append::{AppendOutcome, PendingAppend};
use self::data::DataRefusal;
use crate::access;
use crate::clock::now_ms;
use crate::follow::Lookup;
use crate::metrics;
use crate::state::Front;
use crate::writer::{append_index, encode};

/// Retry-After of a refusal, in milliseconds.
const RETRY_AFTER_MS: u64 = 250;

/// Reply to a request that submits or ends a step.
pub struct StepReply {
    pub status: StatusCode,
    /// Retry-After in milliseconds; `None` if a retry would not help.
    pub retry_after_ms: Option<u64>,
    /// Text of the answer's body.
    pub message: &'static str,
}

impl StepReply {
    fn new(status: StatusCode, message: &'static str) -> Self {
        Self {
            status,
            retry_after_ms: None,
            message,
        }
    }

    fn unavailable(message: &'static str) -> Self {
        Self {
            status: StatusCode::SERVICE_UNAVAILABLE,
            retry_after_ms: Some(RETRY_AFTER_MS),
            message,
        }
    }
}

/// Origin of a submitted step.
pub struct Submitted<'a> {
    pub route: &'a Arc<Route>,
    /// `None` on a public route, which needs no key.
    pub customer: Option<&'a str>,
    /// The step's id, chosen by the trainer.
    pub id: &'a str,
}

/// Validates a submitted step and accepts or refuses it.
pub async fn submit(
    front: &Front,
    routes: &Routes,
    submitted: &Submitted<'_>,
    body: Bytes,
) -> StepReply {
    let &Submitted { customer, id, .. } = submitted;
    let began_ms = now_ms();
    let submission = match jobs::parse_submission(&body) {
        Ok(submission) => submission,
        Err(error) => {
            log::info!(event = "step-refused", id, error:% = error; "");
            return StepReply::new(StatusCode::BAD_REQUEST, "the step cannot be read");
        }
    };
    drop(body);
    let route = match route_for_model(front, routes, submitted.route, &submission.model).await {
        Ok(route) => route,
        Err(reply) => {
            let (model, status) = (submission.model.as_str(), reply.status.as_u16());
            log::info!(event = "step-refused", id, model, status, why = reply.message; "");
            return reply;
        }
    };
    let submitted = &Submitted {
        route: &route,
        ..*submitted
    };
    if let Some(reply) = reply_if_known(front, submitted, &submission.digest) {
        return reply;
    }
    let reply = accept(front, submitted, submission, began_ms).await;
    let took_ms = now_ms() - began_ms;
    front
        .metrics
        .record("front_submission_ms", metrics::item_label(), took_ms);
    log::info!(
        event = "step-submitted", id, customer = customer.unwrap_or_default(),
        status = reply.status.as_u16(), took_ms, why = reply.message; ""
    );
    reply
}

/// The route of a submitted step, if it leads to a service with the step's model. Clients treat 400
/// as final, so only the newest configuration decides that there is none.
async fn route_for_model(
    front: &Front,
    routes: &Routes,
    route: &Arc<Route>,
    model: &str,
) -> Result<Arc<Route>, StepReply> {
    if serves_model(routes, route, model) {
        return Ok(Arc::clone(route));
    }
    let suitable = |routes: Arc<Routes>| {
        let route = routes.find_exact(&route.host, &route.prefix)?;
        let is_suitable = route.kind == RouteKind::Rollout && serves_model(&routes, route, model);
        is_suitable.then(|| Arc::clone(route))
    };
    match access::find_in_routes(front, suitable).await {
        Lookup::Found(route) => Ok(route),
        Lookup::Absent => Err(StepReply::new(
            StatusCode::BAD_REQUEST,
            "no replica serves this model",
        )),
        Lookup::Unknown => Err(StepReply::unavailable(
            "the configuration was not read lately",
        )),
    }
}

fn serves_model(routes: &Routes, route: &Route, model: &str) -> bool {
    route
        .shares
        .iter()
        .any(|share| match routes.services.get(&share.service) {
            Some(service) => service.models.iter().any(|known| **known == *model),
            None => false,
        })
}

/// Reply to a submission whose id the customer has used before; `None` for a new id.
fn reply_if_known(
    front: &Front,
    submitted: &Submitted<'_>,
    digest: &[u8; 16],
) -> Option<StepReply> {
    let index = front.index();
    let step = index.ledger.find(submitted.customer, submitted.id)?;
    Some(match step.head.digest == *digest {
        true => StepReply::new(StatusCode::ACCEPTED, "accepted before"),
        false => StepReply::new(StatusCode::CONFLICT, "another step has this id"),
    })
}

async fn accept(
    front: &Front,
    submitted: &Submitted<'_>,
    mut submission: Submission,
    began_ms: u64,
) -> StepReply {
    let id = submitted.id;
    let mut pending = PendingAppend {
        what: "item-data",
        id,
        began_ms,
        takes_effect: false,
    };
    let items = std::mem::take(&mut submission.data);
    let data = match data::write_data(front, &submission.heads, items, &pending).await {
        Ok(data) => data,
        Err(refusal) => return refused_data(id, &refusal),
    };
    let digest = submission.digest;
    let head = step_head(front, submitted, submission, data);
    let record = match encode(&[LogRecord::Step(StepRecord::Accepted(Box::new(head)))]) {
        Ok(record) => record,
        Err(error) => {
            log::error!(event = "step-refused", id, error:% = error; "");
            return StepReply::new(
                StatusCode::INTERNAL_SERVER_ERROR,
                "the step cannot be encoded",
            );
        }
    };
    let (bytes, bytes_max) = (record[0].len(), front.settings.store.record_bytes_max);
    if bytes > bytes_max {
        log::info!(event = "step-refused", id, bytes, bytes_max; "");
        return StepReply::new(StatusCode::PAYLOAD_TOO_LARGE, "the step has too many items");
    }
    pending.what = "step";
    pending.takes_effect = true;
    let is_known = || reply_if_known(front, submitted, &digest).is_some();
    match append::append_for_client(front, &pending, || append_index(front, &record), is_known)
        .await
    {
        AppendOutcome::Stored(_) => StepReply::new(StatusCode::ACCEPTED, "accepted"),
        AppendOutcome::FoundInIndex => {
            reply_if_known(front, submitted, &digest).unwrap_or_else(unknown_outcome)
        }
        AppendOutcome::NotStored => StepReply::unavailable("the store cannot be reached"),
        AppendOutcome::Refused => refused_by_store(),
        AppendOutcome::Unknown => unknown_outcome(),
    }
}

/// Reply when the store refuses records for their content.
fn refused_by_store() -> StepReply {
    StepReply::new(
        StatusCode::PAYLOAD_TOO_LARGE,
        "the store refuses the step's records",
    )
}

/// Reply when the step's record may or may not be stored.
fn unknown_outcome() -> StepReply {
    StepReply::new(StatusCode::GATEWAY_TIMEOUT, "it may be accepted or not")
}

fn refused_data(id: &str, refusal: &DataRefusal) -> StepReply {
    log::warn!(event = "step-refused", id, error:% = refusal; "");
    match refusal {
        DataRefusal::TooLong(..) => StepReply::new(
            StatusCode::PAYLOAD_TOO_LARGE,
            "an item is longer than the store's records",
        ),
        DataRefusal::Encode(_) => StepReply::new(
            StatusCode::INTERNAL_SERVER_ERROR,
            "an item cannot be encoded",
        ),
        DataRefusal::Refused => refused_by_store(),
        DataRefusal::Unreachable => StepReply::unavailable("the store cannot be reached"),
    }
}

fn step_head(
    front: &Front,
    submitted: &Submitted<'_>,
    submission: Submission,
    data: Vec<DataRange>,
) -> StepHead {
    let route = submitted.route;
    let pool = route.pool_name();
    let shards = choose_shard_count(front, route, &pool, &submission);
    StepHead {
        id: submitted.id.to_owned(),
        customer: submitted.customer.map(str::to_owned),
        digest: submission.digest,
        host: route.host.to_string(),
        prefix: route.prefix.to_string(),
        model: submission.model,
        number: submission.number,
        min_version: submission.min_version,
        single_version: route.single_version,
        groups_wanted: submission.groups_wanted,
        attempts_max: route.attempts_max,
        due_ms: route.due_ms,
        retention_ms: route.retention_ms,
        items: submission.heads,
        data,
        pool,
        shards,
    }
}

/// Number of shards for a new step. Depends on the pool's slots, as far as the items of the pool's
/// newest steps can fill them, and on the number of shards of the pool's newest step.
fn choose_shard_count(front: &Front, route: &Route, pool: &str, submission: &Submission) -> u16 {
    let table = front.replicas.load();
    let slots: u32 = route
        .services()
        .flat_map(|service| table.of(service))
        .filter(|member| !member.replica.draining)
        .map(|member| member.replica.slots)
        .sum();
    let index = front.index();
    let heads = index.ledger.steps().map(|step| &step.head);
    let of_pool: Vec<_> = heads.filter(|head| head.pool == *pool).collect();
    let newest_shards = of_pool.last().map(|head| head.shards);
    // Steps are in the order of the index, so each model's newest step overwrites the older ones.
    let mut items: HashMap<&str, usize> = of_pool
        .iter()
        .map(|head| (head.model.as_str(), head.items.len()))
        .collect();
    items.insert(&submission.model, submission.heads.len());
    let filled = items.values().sum::<usize>() as u32 * SLOTS_PER_ITEM;
    ownership::shard_count(
        slots.min(filled),
        front.shard_slots.load(Ordering::Relaxed),
        newest_shards,
        front.settings.store.partitions,
    )
}

/// Ends a step that this front knows from the index.
pub async fn end_step(front: &Front, id: &str, step: StepId) -> StepReply {
    let pending = PendingAppend {
        what: "end",
        id,
        began_ms: now_ms(),
        takes_effect: true,
    };
    let record = match encode(&[LogRecord::Step(StepRecord::Ended { step })]) {
        Ok(record) => record,
        Err(error) => {
            log::error!(event = "end-not-written", id, error:% = error; "");
            return StepReply::new(
                StatusCode::INTERNAL_SERVER_ERROR,
                "the end cannot be encoded",
            );
        }
    };
    let is_ended = || {
        let index = front.index();
        index.ledger.get(step).is_none_or(|step| step.ended)
    };
    match append::append_for_client(front, &pending, || append_index(front, &record), is_ended)
        .await
    {
        AppendOutcome::Stored(_) | AppendOutcome::FoundInIndex => {
            StepReply::new(StatusCode::OK, "ended")
        }
        AppendOutcome::NotStored => StepReply::unavailable("the store cannot be reached"),
        AppendOutcome::Refused => refused_by_store(),
        AppendOutcome::Unknown => {
            StepReply::new(StatusCode::GATEWAY_TIMEOUT, "it may be ended or not")
        }
    }
}
