//! Submission and end of a trainer's step.
//!
//! A step is accepted once its record stands in the index. Its items' data is written first:
//! if that fails, nothing of the step exists, and a refusal is a promise. Once the record
//! was sent without an answer it may land seconds later; from then on the client gets either
//! the acceptance or an answer that promises nothing.

mod append;
mod data;

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use dispatch::{Route, Routes};
use hyper::StatusCode;
use index::LogRecord;
use orders::PLACES_AN_ITEM;
use platform::jobs::{self, Submission};
use steps::{DataRange, IndexRecord, StepHead, StepId};

use self::append::{Appended, PendingAppend};
use self::data::DataRefusal;
use crate::clock::now_ms;
use crate::metrics;
use crate::state::Front;
use crate::writer::{append_index, encode};

/// When a refused trainer may come again, in milliseconds.
const AGAIN_MS: u64 = 250;

/// Reply to a submission or an end.
pub struct StepReply {
    /// Status of the answer.
    pub status: StatusCode,
    /// When to come again, in milliseconds.
    pub again_ms: Option<u64>,
    /// What happened.
    pub why: &'static str,
}

impl StepReply {
    fn new(status: StatusCode, why: &'static str) -> Self {
        Self {
            status,
            again_ms: None,
            why,
        }
    }

    fn again(why: &'static str) -> Self {
        Self {
            status: StatusCode::SERVICE_UNAVAILABLE,
            again_ms: Some(AGAIN_MS),
            why,
        }
    }
}

/// A step as it came in.
pub struct Submitted<'a> {
    /// The route.
    pub route: &'a Arc<Route>,
    /// The customer; none where no key was asked for.
    pub customer: Option<&'a str>,
    /// The trainer's id of the step.
    pub id: &'a str,
}

/// Accepts a step or says why not.
pub async fn submit(
    front: &Front,
    routes: &Routes,
    submitted: &Submitted<'_>,
    body: Bytes,
) -> StepReply {
    let &Submitted {
        route,
        customer,
        id,
    } = submitted;
    let began_ms = now_ms();
    let submission = match jobs::submission(&body) {
        Ok(submission) => submission,
        Err(error) => {
            log::info!(event = "step-refused", id, error:% = error; "");
            return StepReply::new(StatusCode::BAD_REQUEST, "the step cannot be read");
        }
    };
    drop(body);
    if !serves_model(routes, route, &submission.model) {
        log::info!(event = "step-refused", id, model = submission.model.as_str(); "");
        return StepReply::new(StatusCode::BAD_REQUEST, "no replica serves this model");
    }
    if let Some(reply) = known(front, submitted, &submission.digest) {
        return reply;
    }
    let reply = accept(front, submitted, submission, began_ms).await;
    let took_ms = now_ms() - began_ms;
    front
        .metrics
        .record("front_submission_ms", metrics::item_label(), took_ms);
    log::info!(
        event = "step-submitted", id, customer = customer.unwrap_or_default(),
        status = reply.status.as_u16(), took_ms, why = reply.why; ""
    );
    reply
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

/// Reply to a repeated submission.
fn known(front: &Front, submitted: &Submitted<'_>, digest: &[u8; 16]) -> Option<StepReply> {
    let index = front.index();
    let step = index.ledger.by_name(submitted.customer, submitted.id)?;
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
        binds: false,
    };
    let items = std::mem::take(&mut submission.data);
    let data = match data::write(front, &submission.heads, items, &pending).await {
        Ok(data) => data,
        Err(refusal) => return refused(id, &refusal),
    };
    let digest = submission.digest;
    let head = step_head(front, submitted, submission, data);
    let record = match encode(&[LogRecord::Index(IndexRecord::Accepted(Box::new(head)))]) {
        Ok(record) => record,
        Err(error) => {
            log::error!(event = "step-refused", id, error:% = error; "");
            return StepReply::new(
                StatusCode::INTERNAL_SERVER_ERROR,
                "the step cannot be encoded",
            );
        }
    };
    let (bytes, bytes_max) = (record[0].len(), front.settings.store.record_bytes);
    if bytes > bytes_max {
        log::info!(event = "step-refused", id, bytes, bytes_max; "");
        return StepReply::new(StatusCode::PAYLOAD_TOO_LARGE, "the step has too many items");
    }
    pending.what = "step";
    pending.binds = true;
    let is_known = || known(front, submitted, &digest).is_some();
    match append::until_settled(front, &pending, || append_index(front, &record), is_known).await {
        Appended::Done(_) => StepReply::new(StatusCode::ACCEPTED, "accepted"),
        Appended::Seen => known(front, submitted, &digest).unwrap_or_else(unsure),
        Appended::NotDone => StepReply::again("the store cannot be reached"),
        Appended::Unsure => unsure(),
    }
}

fn unsure() -> StepReply {
    StepReply::new(StatusCode::GATEWAY_TIMEOUT, "it may be accepted or not")
}

fn refused(id: &str, refusal: &DataRefusal) -> StepReply {
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
        DataRefusal::Unreachable => StepReply::again("the store cannot be reached"),
    }
}

fn step_head(
    front: &Front,
    submitted: &Submitted<'_>,
    submission: Submission,
    data: Vec<DataRange>,
) -> StepHead {
    let route = submitted.route;
    let pool = route.pool();
    let shards = shards(front, route, &pool, &submission);
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

/// Shards of a pool, by its places as far as items fill them, and by what the step before was dealt
/// among.
fn shards(front: &Front, route: &Route, pool: &str, submission: &Submission) -> u16 {
    let table = front.replicas.load();
    let places: u32 = route
        .services()
        .flat_map(|service| table.of(service))
        .filter(|member| !member.replica.draining)
        .map(|member| member.replica.slots)
        .sum();
    let index = front.index();
    let heads = index.ledger.steps().map(|step| &step.head);
    let of_pool: Vec<_> = heads.filter(|head| head.pool == *pool).collect();
    let before = of_pool.last().map(|head| head.shards);
    // The newest step of each model stands for it.
    let mut items: HashMap<&str, usize> = of_pool
        .iter()
        .map(|head| (head.model.as_str(), head.items.len()))
        .collect();
    items.insert(&submission.model, submission.heads.len());
    let filled = items.values().sum::<usize>() as u32 * PLACES_AN_ITEM;
    ownership::shard_count(
        places.min(filled),
        front.shard_places.load(Ordering::Relaxed),
        before,
        front.settings.store.partitions,
    )
}

/// Ends a step. A step that this front does not know is answered by the caller.
pub async fn end(front: &Front, id: &str, step: StepId) -> StepReply {
    let pending = PendingAppend {
        what: "end",
        id,
        began_ms: now_ms(),
        binds: true,
    };
    let record = match encode(&[LogRecord::Index(IndexRecord::Ended { step })]) {
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
    match append::until_settled(front, &pending, || append_index(front, &record), is_ended).await {
        Appended::Done(_) | Appended::Seen => StepReply::new(StatusCode::OK, "ended"),
        Appended::NotDone => StepReply::again("the store cannot be reached"),
        Appended::Unsure => StepReply::new(StatusCode::GATEWAY_TIMEOUT, "it may be ended or not"),
    }
}
