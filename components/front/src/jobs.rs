//! Submission and end of a trainer's step.
//!
//! A step is accepted once its record stands in the index. Its items' data is written first:
//! if that fails, nothing of the step exists, and a refusal is a promise. Once the record
//! was sent without an answer it may land seconds later; from then on the client gets either
//! the acceptance or an answer that promises nothing.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use dispatch::{Route, Routes};
use hyper::StatusCode;
use platform::jobs::{self, Submission};
use platform::store::StoreError;
use steps::{DataRange, IndexRecord, StepHead, StepId, encode_item};

use crate::clock::now_ms;
use crate::figures;
use crate::log_record::{DATA_TOPIC, LogRecord};
use crate::state::Front;
use crate::writer::{WriteError, append_index, data_partition};

/// How long the store is tried for before a step is refused as not accepted, in milliseconds:
/// another front may reach the store, and the trainer comes again at once.
const REFUSE_AFTER_MS: u64 = 1_200;
/// How long an acceptance that may have landed is waited for, in milliseconds.
const UNSURE_AFTER_MS: u64 = 3_500;
/// Longest time for one append on the path of a client, in milliseconds.
const APPEND_MS: u64 = 1_000;
/// Pause after an append that failed, in milliseconds.
const PAUSE_MS: u64 = 60;
/// When a refused trainer may come again, in milliseconds.
const AGAIN_MS: u64 = 250;

/// What a client is told.
pub struct Told {
    /// Status of the answer.
    pub status: StatusCode,
    /// When to come again, in milliseconds.
    pub again_ms: Option<u64>,
    /// What happened.
    pub why: &'static str,
}

impl Told {
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

/// Accepts a step or says why not.
pub async fn submit(
    front: &Front,
    routes: &Routes,
    route: &Arc<Route>,
    id: &str,
    body: Bytes,
) -> Told {
    let began_ms = now_ms();
    let submission = match jobs::submission(&body) {
        Ok(submission) => submission,
        Err(error) => {
            log::info!(event = "step-refused", id, error:% = error; "");
            return Told::new(StatusCode::BAD_REQUEST, "the step cannot be read");
        }
    };
    drop(body);
    if !serves_model(routes, route, &submission.model) {
        log::info!(event = "step-refused", id, model = submission.model.as_str(); "");
        return Told::new(StatusCode::BAD_REQUEST, "no replica serves this model");
    }
    if let Some(told) = known(front, id, &submission.digest) {
        return told;
    }
    let told = accept(front, route, id, submission, began_ms).await;
    let took_ms = now_ms() - began_ms;
    front
        .metrics
        .record("front_submission_ms", figures::item_label(), took_ms);
    log::info!(
        event = "step-submitted", id, status = told.status.as_u16(), took_ms, why = told.why; ""
    );
    told
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

/// What a repetition is told.
fn known(front: &Front, id: &str, digest: &[u8; 16]) -> Option<Told> {
    let index = front.index();
    let step = index.ledger.by_name(id)?;
    Some(match step.head.digest == *digest {
        true => Told::new(StatusCode::ACCEPTED, "accepted before"),
        false => Told::new(StatusCode::CONFLICT, "another step has this id"),
    })
}

async fn accept(
    front: &Front,
    route: &Route,
    id: &str,
    submission: Submission,
    began_ms: u64,
) -> Told {
    let digest = submission.digest;
    let data = match write_data(front, &submission, began_ms).await {
        Ok(data) => data,
        Err(error) => {
            log::warn!(event = "step-data-not-written", id, error:% = error; "");
            return Told::again("the store cannot be reached");
        }
    };
    let head = StepHead {
        id: id.to_owned(),
        digest,
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
    };
    let record = [LogRecord::Index(IndexRecord::Accepted(Box::new(head)))];
    let mut unsure = false;
    loop {
        match append_index(front, &record).await {
            Ok(_) => return Told::new(StatusCode::ACCEPTED, "accepted"),
            Err(error) => {
                log::warn!(event = "step-not-written", id, unsure, error:% = error; "");
                unsure |= !matches!(&error, WriteError::Store(why) if why.is_not_done());
            }
        }
        if let Some(told) = known(front, id, &digest) {
            return told;
        }
        let waited_ms = now_ms() - began_ms;
        if !unsure && waited_ms > REFUSE_AFTER_MS {
            return Told::again("the store cannot be reached");
        }
        if waited_ms > UNSURE_AFTER_MS {
            return Told::new(StatusCode::GATEWAY_TIMEOUT, "it may be accepted or not");
        }
        front.storage.pause(PAUSE_MS).await;
    }
}

async fn write_data(
    front: &Front,
    submission: &Submission,
    began_ms: u64,
) -> Result<Vec<DataRange>, WriteError> {
    let mut ranges = Vec::new();
    let mut batch: Vec<Bytes> = Vec::new();
    let mut bytes = 0;
    // Half of what one call may bring, so that two steps at once hold little memory.
    let batch_bytes = front.settings.store.call_bytes / 2;
    for item in &submission.data {
        let encoded = encode_item(item)
            .map_err(|error| WriteError::Store(StoreError::NotDone(error.to_string())))?;
        if encoded.len() > front.settings.store.record_bytes {
            let why = format!("an item of {} bytes is longer than a record", encoded.len());
            return Err(WriteError::Store(StoreError::NotDone(why)));
        }
        if bytes + encoded.len() > batch_bytes {
            ranges.push(append_data(front, &std::mem::take(&mut batch), began_ms).await?);
            bytes = 0;
        }
        bytes += encoded.len() + 4;
        batch.push(encoded.into());
    }
    ranges.push(append_data(front, &batch, began_ms).await?);
    Ok(ranges)
}

async fn append_data(
    front: &Front,
    records: &[Bytes],
    began_ms: u64,
) -> Result<DataRange, WriteError> {
    let partition = data_partition(front);
    let within = Duration::from_millis(APPEND_MS);
    loop {
        // Data that landed without an answer is named by nobody and expires.
        match front
            .storage
            .append(DATA_TOPIC, partition, records, within)
            .await
        {
            Ok(offset) => {
                return Ok(DataRange {
                    partition,
                    offset,
                    count: records.len() as u32,
                });
            }
            Err(error) if now_ms() - began_ms > REFUSE_AFTER_MS => {
                return Err(WriteError::Store(error));
            }
            Err(error) => {
                log::info!(event = "append-failed", topic = DATA_TOPIC, error:% = error; "");
                front.storage.pause(PAUSE_MS).await;
            }
        }
    }
}

/// Ends a step. A step that this front does not know is answered by the caller.
pub async fn end(front: &Front, step: StepId) -> Told {
    let began_ms = now_ms();
    let record = [LogRecord::Index(IndexRecord::Ended { step })];
    loop {
        match append_index(front, &record).await {
            Ok(_) => return Told::new(StatusCode::OK, "ended"),
            Err(error) => {
                log::warn!(event = "end-not-written", step = step.0, error:% = error; "");
            }
        }
        let ended = front.index().ledger.get(step).is_none_or(|step| step.ended);
        if ended {
            return Told::new(StatusCode::OK, "ended");
        }
        if now_ms() - began_ms > UNSURE_AFTER_MS {
            return Told::new(StatusCode::GATEWAY_TIMEOUT, "it may be ended or not");
        }
        front.storage.pause(PAUSE_MS).await;
    }
}
