//! Authentication of clients: maps the API key of a request to a customer, by the active
//! configuration.
//!
//! Clients treat 401 and 404 as final and don't retry. A front therefore answers that a key is
//! unknown or that no route matches only by a version of the configuration that it has read after
//! the request arrived. If it cannot read one, it answers 503 with Retry-After instead, since a newer
//! version may contain the key or the route.

use std::sync::Arc;
use std::time::Duration;

use customers::{Customer, PresentedKey, Refusal};
use dispatch::{Route, Routes};
use hyper::body::Incoming;
use hyper::{HeaderMap, Response, StatusCode, Uri};
use platform::{ResponseBody, discard, ingress};

use crate::clock::now_ms;
use crate::follow::{Lookup, find_in_index};
use crate::metrics;
use crate::state::Front;

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

/// Refusal of a request.
#[derive(Clone, Copy)]
pub struct Denial {
    why: Refused,
    /// Whether the front had read the newest records. The client must retry otherwise.
    is_final: bool,
}

/// A call that a route accepts.
pub struct AuthorizedCall {
    /// Version of the configuration that the route belongs to.
    pub routes: Arc<Routes>,
    pub route: Arc<Route>,
    /// `None` on a public route, which needs no key.
    pub customer: Option<Arc<Customer>>,
}

/// Evaluates the active configuration, and newer versions as they are read, until `evaluate` returns
/// something or the version that was in force at the call has been evaluated.
pub async fn find_in_routes<T>(
    front: &Front,
    evaluate: impl Fn(Arc<Routes>) -> Option<T>,
) -> Lookup<T> {
    let evaluate_active = || front.routes.load_full().and_then(&evaluate);
    front.operator_copy.look_up(evaluate_active).await
}

/// Finds the route of a call and authenticates the caller, by the active configuration `routes` or,
/// if it would refuse the call, by the newest one.
pub async fn authorize_call(
    front: &Front,
    routes: Arc<Routes>,
    uri: &Uri,
    headers: &HeaderMap,
) -> Result<AuthorizedCall, Denial> {
    let why = match authorize_by(routes, uri, headers) {
        Ok(call) => return Ok(call),
        Err(why) => why,
    };
    let denied = |why, is_final| Denial { why, is_final };
    let allowed = |routes| authorize_by(routes, uri, headers).ok();
    match find_in_routes(front, allowed).await {
        Lookup::Found(call) => Ok(call),
        Lookup::Absent => {
            // The newest version may refuse the call for another reason.
            let newest = front.routes.load_full();
            let refused = newest.and_then(|routes| authorize_by(routes, uri, headers).err());
            Err(denied(refused.unwrap_or(why), true))
        }
        Lookup::Unknown => Err(denied(why, false)),
    }
}

fn authorize_by(
    routes: Arc<Routes>,
    uri: &Uri,
    headers: &HeaderMap,
) -> Result<AuthorizedCall, Refused> {
    let host = ingress::host(uri, headers).unwrap_or_default();
    let route = routes.find(host, uri.path()).ok_or(Refused::NoRoute)?;
    let shown = ingress::api_key(headers);
    let customer = routes.customer(route, shown).map_err(Refused::Key)?;
    let route = Arc::clone(route);
    Ok(AuthorizedCall {
        routes,
        route,
        customer,
    })
}

/// Authenticates a request that reads or ends a step. Without a valid key, only a step that was
/// submitted without a customer is accessible.
pub async fn authenticate_step_access(
    front: &Front,
    routes: &Routes,
    headers: &HeaderMap,
    step: &str,
) -> Result<Option<Arc<Customer>>, Denial> {
    let shown = || ingress::api_key(headers);
    let refusal = match routes.customers.authenticate(shown()) {
        Ok(holder) => return Ok(holder.cloned()),
        Err(refusal) => refusal,
    };
    let anonymous_step = find_in_index(front, |index| {
        index.ledger.find(None, step).map(|step| step.id)
    });
    let has_read_index = match anonymous_step.await {
        Lookup::Found(_) => return Ok(None),
        Lookup::Absent => true,
        Lookup::Unknown => false,
    };
    let holder = |routes: Arc<Routes>| {
        let holder = routes.customers.authenticate(shown()).ok()?;
        Some(holder.cloned())
    };
    let is_final = match find_in_routes(front, holder).await {
        Lookup::Found(holder) => return Ok(holder),
        Lookup::Absent => has_read_index,
        Lookup::Unknown => false,
    };
    Err(Denial {
        why: Refused::Key(refusal),
        is_final,
    })
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
    denial: Denial,
) -> Response<ResponseBody> {
    let Denial { why, is_final } = denial;
    let behind_ms = now_ms().saturating_sub(front.operator_copy.as_of_ms());
    let key = match ingress::api_key(headers) {
        PresentedKey::One(key) => front.key_marks.of(key),
        PresentedKey::Nothing | PresentedKey::Malformed => String::new(),
    };
    log::info!(
        event = "refused", id = id.unwrap_or_default(), why = why.as_str(), key,
        behind = !is_final, behind_ms, routes_version = routes.version; ""
    );
    front.metrics.count(
        "front_requests_refused_total",
        metrics::call_label(false),
        1,
    );
    let rest = discard(body, routes.limits.body_bytes_max);
    let read = tokio::time::timeout(Duration::from_millis(DISCARD_MS), rest).await;
    let mut answer = match is_final {
        true => ingress::status_response(why.status(), id, None, why.message()),
        false => {
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
