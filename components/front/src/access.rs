//! Who a client is: the holder of the key that its request shows, by the configuration in force.
//!
//! A refusal is final for a client, who asks no more with that key. So a front says that a key
//! is nobody's, or that there is no route, only while it hears of the configuration; behind, it
//! says that nothing was run and when to come again, as the newest version may know both.

use std::sync::Arc;
use std::time::Duration;

use customers::{Customer, PresentedKey, Refusal};
use dispatch::{Route, Routes};
use hyper::body::Incoming;
use hyper::{HeaderMap, Response, StatusCode};
use platform::{ResponseBody, discard, ingress};

use crate::clock::now_ms;
use crate::figures;
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
            Refused::Key(refusal) => refusal.as_str(),
        }
    }
}

/// The customer of a call of a route; none where the route needs none.
pub fn caller(
    routes: &Routes,
    route: &Route,
    headers: &HeaderMap,
) -> Result<Option<Arc<Customer>>, Refused> {
    let shown = ingress::api_key(headers);
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
    let refusal = match routes.customers.authenticate(ingress::api_key(headers)) {
        Ok(holder) => return Ok(holder.cloned()),
        Err(refusal) => refusal,
    };
    let open = results::find(front, |index| {
        index.ledger.find(None, step).map(|step| step.id)
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
) -> Response<ResponseBody> {
    let behind_ms = front.operator_age_ms(now_ms());
    let behind = behind_ms >= BEHIND_MS;
    let key = match ingress::api_key(headers) {
        PresentedKey::One(key) => front.key_marks.of(key),
        PresentedKey::Nothing | PresentedKey::Malformed => String::new(),
    };
    log::info!(
        event = "refused", id = id.unwrap_or_default(), why = refused.word(), key, behind,
        behind_ms, routes_version = routes.version; ""
    );
    front.metrics.count(
        "front_requests_refused_total",
        figures::call_label(false),
        1,
    );
    let rest = discard(body, routes.limits.body_bytes_max);
    let read = tokio::time::timeout(Duration::from_millis(REST_MS), rest).await;
    let mut answer = match behind {
        false => ingress::status_response(refused.status(), id, None, refused.why()),
        true => {
            let status = StatusCode::SERVICE_UNAVAILABLE;
            let why = "the configuration was not read lately";
            ingress::status_response(status, id, Some(BEHIND_AGAIN_MS), why)
        }
    };
    if !matches!(read, Ok(Ok(_))) {
        ingress::set_connection_close(&mut answer);
    }
    answer
}
