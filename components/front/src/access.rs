//! Authentication of clients: maps the API key of a request to a customer, by the active
//! configuration.
//!
//! Clients treat 401 and 404 as final and don't retry. A front therefore answers that a key is
//! unknown or that no route matches only while its configuration is current. While it is stale,
//! the front answers 503 with Retry-After instead, since a newer version may contain the key or
//! the route.

use std::sync::Arc;
use std::time::Duration;

use customers::{Customer, PresentedKey, Refusal};
use dispatch::{Route, Routes};
use hyper::body::Incoming;
use hyper::{HeaderMap, Response, StatusCode};
use platform::{ResponseBody, discard, ingress};

use crate::clock::now_ms;
use crate::metrics;
use crate::results;
use crate::state::Front;

/// Age of the last complete read of the operator's records at which the configuration counts as
/// stale, in milliseconds. A long poll that finds nothing new returns twice within this time.
const STALE_MS: u64 = 1_000;
/// Retry-After of a refusal that is based on a stale configuration, in milliseconds.
const STALE_RETRY_AFTER_MS: u64 = 300;
/// Time limit for reading the rest of a refused request's body, in milliseconds.
const DISCARD_MS: u64 = 1_000;

/// Why a request is refused before it is routed to a replica.
#[derive(Clone, Copy)]
pub enum Refused {
    NoRoute,
    /// The key is missing, malformed or belongs to no customer.
    Key(Refusal),
}

impl Refused {
    fn status(self) -> StatusCode {
        match self {
            Refused::NoRoute => StatusCode::NOT_FOUND,
            Refused::Key(_) => StatusCode::UNAUTHORIZED,
        }
    }

    fn message(self) -> &'static str {
        match self {
            Refused::NoRoute => "no route",
            Refused::Key(_) => "the key is not known",
        }
    }

    fn as_str(self) -> &'static str {
        match self {
            Refused::NoRoute => "no-route",
            Refused::Key(refusal) => refusal.as_str(),
        }
    }
}

/// Authenticates a call of a route. `None` for a public route, which needs no key.
pub fn authenticate_call(
    routes: &Routes,
    route: &Route,
    headers: &HeaderMap,
) -> Result<Option<Arc<Customer>>, Refused> {
    let shown = ingress::api_key(headers);
    routes.customer(route, shown).map_err(Refused::Key)
}

/// Authenticates a request that reads or ends a step. Without a valid key, only a step that was
/// submitted without a customer is accessible.
pub async fn authenticate_step_access(
    front: &Front,
    routes: &Routes,
    headers: &HeaderMap,
    step: &str,
) -> Result<Option<Arc<Customer>>, Refused> {
    let refusal = match routes.customers.authenticate(ingress::api_key(headers)) {
        Ok(holder) => return Ok(holder.cloned()),
        Err(refusal) => refusal,
    };
    let anonymous_step = results::find_in_index(front, |index| {
        index.ledger.find(None, step).map(|step| step.id)
    });
    match anonymous_step.await {
        Some(_) => Ok(None),
        None => Err(Refused::Key(refusal)),
    }
}

/// Refuses a request after reading the rest of its body: closing a connection with unread bytes
/// resets it, and the client would lose the answer. The body is discarded as it arrives, since
/// unauthenticated clients could otherwise make the front buffer it.
pub async fn refuse(
    front: &Front,
    routes: &Routes,
    headers: &HeaderMap,
    body: Incoming,
    id: Option<&str>,
    refused: Refused,
) -> Response<ResponseBody> {
    let age_ms = front.operator_records_age_ms(now_ms());
    let is_stale = age_ms >= STALE_MS;
    let key = match ingress::api_key(headers) {
        PresentedKey::One(key) => front.key_marks.of(key),
        PresentedKey::Nothing | PresentedKey::Malformed => String::new(),
    };
    log::info!(
        event = "refused", id = id.unwrap_or_default(), why = refused.as_str(), key,
        behind = is_stale, behind_ms = age_ms, routes_version = routes.version; ""
    );
    front.metrics.count(
        "front_requests_refused_total",
        metrics::call_label(false),
        1,
    );
    let rest = discard(body, routes.limits.body_bytes_max);
    let read = tokio::time::timeout(Duration::from_millis(DISCARD_MS), rest).await;
    let mut answer = match is_stale {
        false => ingress::status_response(refused.status(), id, None, refused.message()),
        true => {
            let status = StatusCode::SERVICE_UNAVAILABLE;
            let message = "the configuration was not read lately";
            ingress::status_response(status, id, Some(STALE_RETRY_AFTER_MS), message)
        }
    };
    if !matches!(read, Ok(Ok(_))) {
        ingress::set_connection_close(&mut answer);
    }
    answer
}
