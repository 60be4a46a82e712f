//! Who a client is: the holder of the key that its request shows, by the configuration in force.
//!
//! A refusal is final for a client, who asks no more with that key. So a front says that a key
//! is nobody's, or that there is no route, only while it hears of the configuration; behind, it
//! says that nothing was run and when to come again, as the newest version may know both.

use std::sync::Arc;
use std::time::Duration;

use customers::{Customer, Refusal, ShownKey};
use dispatch::{Route, Routes};
use hyper::body::Incoming;
use hyper::{HeaderMap, Response, StatusCode};
use platform::{ReplyBody, discard, ingress};

use crate::clock::now_ms;
use crate::metrics;
use crate::results;
use crate::state::Front;

/// Age of what is known of the configuration from which on a front is behind, in milliseconds;
/// a read that brings nothing new comes back twice within it.
const BEHIND_MS: u64 = 1_000;
/// When a client that a front behind can't judge may come again, in milliseconds.
const BEHIND_AGAIN_MS: u64 = 300;
/// Longest time for reading the rest of a refused request, in milliseconds.
const REST_MS: u64 = 1_000;

/// Why a request goes no further.
#[derive(Clone, Copy)]
pub enum Refused {
    /// No route matches.
    NoRoute,
    /// Its key opens nothing.
    Key(Refusal),
}

impl Refused {
    fn status(self) -> StatusCode {
        match self {
            Refused::NoRoute => StatusCode::NOT_FOUND,
            Refused::Key(_) => StatusCode::UNAUTHORIZED,
        }
    }

    fn why(self) -> &'static str {
        match self {
            Refused::NoRoute => "no route",
            Refused::Key(_) => "the key is not known",
        }
    }

    fn word(self) -> &'static str {
        match self {
            Refused::NoRoute => "no-route",
            Refused::Key(refusal) => refusal.word(),
        }
    }
}

/// The customer of a call of a route; none where the route needs none.
pub fn caller(
    routes: &Routes,
    route: &Route,
    headers: &HeaderMap,
) -> Result<Option<Arc<Customer>>, Refused> {
    let shown = ingress::shown_key(headers);
    routes.customer(route, shown).map_err(Refused::Key)
}

/// The customer that reads or ends a step. Without a key only a step is open that was
/// submitted without one.
pub async fn reader(
    front: &Front,
    routes: &Routes,
    headers: &HeaderMap,
    step: &str,
) -> Result<Option<Arc<Customer>>, Refused> {
    let refusal = match routes.customers.holder(ingress::shown_key(headers)) {
        Ok(holder) => return Ok(holder.cloned()),
        Err(refusal) => refusal,
    };
    let open = results::find(front, |index| {
        index.ledger.by_name(None, step).map(|step| step.id)
    });
    match open.await {
        Some(_) => Ok(None),
        None => Err(Refused::Key(refusal)),
    }
}

/// Refuses a request, of which the rest is read first: a connection that closes with unread
/// bytes is reset, and the client would not see why. Nothing of it is kept, as anybody may send
/// it.
pub async fn refuse(
    front: &Front,
    routes: &Routes,
    headers: &HeaderMap,
    body: Incoming,
    id: Option<&str>,
    refused: Refused,
) -> Response<ReplyBody> {
    let behind_ms = front.operator_records_age_ms(now_ms());
    let behind = behind_ms >= BEHIND_MS;
    let key = match ingress::shown_key(headers) {
        ShownKey::One(key) => front.key_marks.of(key),
        ShownKey::Nothing | ShownKey::Odd => String::new(),
    };
    log::info!(
        event = "refused", id = id.unwrap_or_default(), why = refused.word(), key, behind,
        behind_ms, routes_version = routes.version; ""
    );
    front.metrics.count(
        "front_requests_refused_total",
        metrics::call_label(false),
        1,
    );
    let rest = discard(body, routes.limits.body_bytes);
    let read = tokio::time::timeout(Duration::from_millis(REST_MS), rest).await;
    let mut answer = match behind {
        false => ingress::own_answer(refused.status(), id, None, refused.why()),
        true => {
            let status = StatusCode::SERVICE_UNAVAILABLE;
            let why = "the configuration was not read lately";
            ingress::own_answer(status, id, Some(BEHIND_AGAIN_MS), why)
        }
    };
    if !matches!(read, Ok(Ok(_))) {
        ingress::close_after(&mut answer);
    }
    answer
}
