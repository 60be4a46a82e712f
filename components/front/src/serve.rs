//! Handlers for requests of clients and of the load balancer.

use std::sync::Arc;
use std::time::Duration;

use customers::Customer;
use dispatch::{CallFailure, Route, RouteKind, Routes};
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use platform::ingress::{self, Operation};
use platform::{BodyError, ResponseBody};
use telemetry::Label;

use crate::access::AuthorizedCall;
use crate::calls::{self, Answer, CallOutcome, CallSpec};
use crate::clock::now_ms;
use crate::follow::{Lookup, find_in_index};
use crate::held::{self, HeldGuard};
use crate::held_body::{self, RequestBodyError};
use crate::results::{self, ReadResult};
use crate::state::Front;
use crate::stream::NotStarted;
use crate::suspects::SuspectRefusal;
use crate::{access, jobs, metrics, stream};

/// Retry-After of a front that has not read a configuration yet, or not the newest one, in
/// milliseconds.
const UNCONFIGURED_RETRY_AFTER_MS: u64 = 300;
/// Retry-After when all replicas are busy, in milliseconds: half the duration of a call.
const BUSY_RETRY_AFTER_MS: u64 = 60;
/// Retry-After while too much data is held for slow clients, in milliseconds.
const OVERFULL_RETRY_AFTER_MS: u64 = 1_000;
/// Path of the metrics page, on the address of the readiness probe.
const METRICS_PATH: &str = "/metrics";
/// Timeout of a request without a deadline header, in milliseconds. A shorter timeout of the route
/// takes precedence.
const DEFAULT_TIMEOUT_MS: u64 = 30_000;

/// Answers the load balancer's readiness probe and requests for the metrics page.
pub async fn serve_readiness(
    front: Arc<Front>,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    if request.uri().path() == METRICS_PATH {
        let (metrics, held_bytes) = (&front.metrics, front.held.bytes());
        metrics.set_gauge("front_held_bytes", Label::default(), held_bytes);
        let mut text = metrics::text(&metrics.rows().await);
        text.push_str(&front.storage.calls.text());
        text.push_str(&front.storage.relay.text());
        text.push_str(&front.moves.text());
        text.push_str(&front.call_queues.text(&front.replicas.load()));
        text.push_str(&metrics::customers_text(&front.meter.series()));
        return ingress::success_response(StatusCode::OK, None, "text/plain", text.into());
    }
    let status = match front.is_ready() {
        true => StatusCode::OK,
        false => StatusCode::SERVICE_UNAVAILABLE,
    };
    let mut answer = Response::new(ResponseBody::empty());
    *answer.status_mut() = status;
    answer
}

/// Answers a client's request. A leaving front refuses requests once the settle time of its drain
/// is over.
pub async fn serve_client(front: Arc<Front>, request: Request<Incoming>) -> Response<ResponseBody> {
    let id = ingress::request_id(request.headers()).map(str::to_owned);
    let mut answer = match front.drain.check(now_ms()) {
        Ok(()) => serve_admitted(&front, request, id.as_deref()).await,
        Err(refusal) => {
            let retry_after_ms = refusal.retry_after_ms.map(u64::from);
            let status = StatusCode::SERVICE_UNAVAILABLE;
            ingress::status_response(status, id.as_deref(), retry_after_ms, "leaving")
        }
    };
    if front.drain.is_leaving() {
        ingress::set_connection_close(&mut answer);
    }
    answer
}

async fn serve_admitted(
    front: &Arc<Front>,
    request: Request<Incoming>,
    id: Option<&str>,
) -> Response<ResponseBody> {
    let Some(routes) = front.routes.load_full() else {
        let status = StatusCode::SERVICE_UNAVAILABLE;
        return ingress::status_response(
            status,
            id,
            Some(UNCONFIGURED_RETRY_AFTER_MS),
            "no configuration yet",
        );
    };
    let operation = ingress::parse_operation(request.method(), request.uri(), request.headers());
    let Some(step) = operation.step() else {
        return route_call(front, routes, request, id).await;
    };
    let customer =
        match access::authenticate_step_access(front, &routes, request.headers(), step).await {
            Ok(customer) => customer,
            Err(denial) => {
                let (parts, body) = request.into_parts();
                return access::refuse(front, &routes, &parts.headers, body, id, denial).await;
            }
        };
    let Some(held) = front.held.admit(0) else {
        return overfull_response(id, front.held.bytes());
    };
    let mut answer = serve_step_request(front, name_of(&customer), &operation, id).await;
    let is_read = !matches!(operation, Operation::EndStep { .. });
    match is_read && !held::try_hold_answer(&mut answer, held) {
        true => overfull_response(id, front.held.bytes()),
        false => answer,
    }
}

/// Serves a request about a step that the customer submitted before.
async fn serve_step_request(
    front: &Front,
    customer: Option<&str>,
    operation: &Operation,
    id: Option<&str>,
) -> Response<ResponseBody> {
    match operation {
        Operation::Results { step, after, wait } => {
            let read = results::read_results(front, customer, step, *after, *wait).await;
            read_response(id, read, "application/json")
        }
        Operation::ItemBody { step, item } => {
            let read = results::read_item_body(front, customer, step, item).await;
            read_response(id, read, "application/octet-stream")
        }
        Operation::EndStep { step } => end_step(front, customer, id, step).await,
        Operation::Call => ingress::status_response(StatusCode::NOT_FOUND, id, None, "no route"),
    }
}

fn name_of(customer: &Option<Arc<Customer>>) -> Option<&str> {
    customer.as_ref().map(|customer| &*customer.name)
}

fn read_response(id: Option<&str>, read: ReadResult, content_type: &str) -> Response<ResponseBody> {
    let status = read.status();
    match read {
        ReadResult::Found(body) => ingress::success_response(status, id, content_type, body),
        ReadResult::NotFound => {
            ingress::status_response(status, id, None, "there is no such step or item")
        }
        ReadResult::Unavailable(message) => {
            ingress::status_response(status, id, Some(BUSY_RETRY_AFTER_MS), message)
        }
    }
}

async fn end_step(
    front: &Front,
    customer: Option<&str>,
    id: Option<&str>,
    name: &str,
) -> Response<ResponseBody> {
    let lookup = find_in_index(front, |index| {
        index.ledger.find_visible(customer, name).cloned()
    });
    let step = match results::found_or_answer(lookup.await) {
        Ok(step) => step,
        Err(answer) => return read_response(id, answer, "application/json"),
    };
    if step.ended {
        return ingress::status_response(StatusCode::OK, id, None, "ended before");
    }
    let reply = jobs::end_step(front, name, step.id).await;
    log::info!(
        event = "step-ended", id = name, status = reply.status.as_u16(),
        listed = step.results.len(), items = step.head.items.len(); ""
    );
    ingress::status_response(reply.status, id, reply.retry_after_ms, reply.message)
}

/// Serves a call of a configured route.
async fn route_call(
    front: &Arc<Front>,
    active_routes: Arc<Routes>,
    request: Request<Incoming>,
    id: Option<&str>,
) -> Response<ResponseBody> {
    let began_ms = now_ms();
    let (parts, body) = request.into_parts();
    let (routes, headers) = (Arc::clone(&active_routes), &parts.headers);
    let AuthorizedCall {
        routes,
        route,
        customer,
    } = match access::authorize_call(front, routes, &parts.uri, headers).await {
        Ok(call) => call,
        Err(denial) => {
            return access::refuse(front, &active_routes, headers, body, id, denial).await;
        }
    };
    let route = &route;
    let Some(id) = id else {
        return ingress::status_response(StatusCode::BAD_REQUEST, None, None, "no request id");
    };
    let limit_bytes = routes.limits.body_bytes_max;
    let content_length = ingress::content_length(&parts.headers);
    if content_length.is_some_and(|bytes| bytes > limit_bytes as u64) {
        return refuse_long_body(front, id, limit_bytes).await;
    }
    let answer_bytes = front.answer_lengths.expected(&route.name);
    let Some(held) = front.held.admit_call(answer_bytes) else {
        return overfull_response(Some(id), front.held.bytes());
    };
    if !held.hold_request(content_length.unwrap_or(0)).await {
        return overfull_response(Some(id), front.held.bytes());
    }
    let timeout_ms = ingress::deadline_ms(&parts.headers).unwrap_or(DEFAULT_TIMEOUT_MS);
    let within = Duration::from_millis(timeout_ms);
    let reading = held_body::read_request(body, limit_bytes, content_length, &held, within);
    let read = tokio::select! {
        read = reading => read,
        () = front.wait_until_refusing() => Err(RequestBodyError::Leaving),
    };
    let body = match read {
        Ok(body) => body,
        Err(RequestBodyError::Body(BodyError::TooLarge(_))) => {
            return refuse_long_body(front, id, limit_bytes).await;
        }
        Err(RequestBodyError::Overfull) => {
            return overfull_response(Some(id), front.held.bytes());
        }
        Err(error @ (RequestBodyError::Late | RequestBodyError::Leaving)) => {
            log::info!(event = "body-broken", id, error:% = error; "");
            return unread_body_response(Some(id), BUSY_RETRY_AFTER_MS, "not run");
        }
        Err(error @ RequestBodyError::Body(_)) => {
            log::info!(event = "body-broken", id, error:% = error; "");
            return ingress::status_response(
                StatusCode::BAD_REQUEST,
                Some(id),
                None,
                "broken body",
            );
        }
    };
    if route.kind == RouteKind::Rollout {
        // The decoded items are as large as the body, which is dropped only then.
        if !held.hold_request(body.len() as u64).await {
            return overfull_response(Some(id), front.held.bytes());
        }
        let submitted = jobs::Submitted {
            route,
            customer: name_of(&customer),
            id,
        };
        let reply = tokio::select! {
            reply = jobs::submit(front, &routes, &submitted, body) => reply,
            () = front.wait_until_ending() => return failure_response(CallFailure::Unknown, id),
        };
        return ingress::status_response(
            reply.status,
            Some(id),
            reply.retry_after_ms,
            reply.message,
        );
    }
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    let timeout_ms = match route.timeout_ms {
        0 => timeout_ms,
        route_timeout_ms => timeout_ms.min(route_timeout_ms),
    };
    let spec = CallSpec {
        route,
        method: parts.method,
        path,
        headers: ingress::replica_headers(&parts.headers),
        body,
        request_id: id,
        customer: name_of(&customer),
        rank: rank(route, customer.as_deref()),
        background: false,
        decides_step: false,
        deadline_at_ms: began_ms + timeout_ms,
    };
    perform_call(front, route, &spec, held).await
}

/// Refuses a request, which has not run, because too much data is held for others.
fn overfull_response(id: Option<&str>, held_bytes: u64) -> Response<ResponseBody> {
    let id_text = id.unwrap_or_default();
    let why = "too much data is held";
    log::warn!(event = "request-refused", id = id_text, held_bytes, why; "");
    unread_body_response(id, OVERFULL_RETRY_AFTER_MS, "not run")
}

/// Refuses a request, which has not run, and whose body may be unread. The client may retry.
fn unread_body_response(
    id: Option<&str>,
    retry_after_ms: u64,
    message: &'static str,
) -> Response<ResponseBody> {
    let status = StatusCode::SERVICE_UNAVAILABLE;
    let mut answer = ingress::status_response(status, id, Some(retry_after_ms), message);
    ingress::set_connection_close(&mut answer);
    answer
}

/// Priority of a call in the replica's queue; only model replicas support priorities.
fn rank(route: &Route, customer: Option<&Customer>) -> Option<u8> {
    let supported = route.kind == RouteKind::Stream;
    supported.then(|| route.rank_for(customer)).flatten()
}

/// Refuses a body that is longer than the active configuration allows. The client may retry if a
/// newer one allows more, or if this front cannot read it.
async fn refuse_long_body(front: &Front, id: &str, limit_bytes: usize) -> Response<ResponseBody> {
    let has_higher_limit =
        |routes: Arc<Routes>| (routes.limits.body_bytes_max > limit_bytes).then_some(());
    let found = access::find_in_routes(front, has_higher_limit).await;
    if let Lookup::Absent = found {
        return too_large_response(id);
    }
    let message = "the configuration was not read lately";
    unread_body_response(Some(id), UNCONFIGURED_RETRY_AFTER_MS, message)
}

fn too_large_response(id: &str) -> Response<ResponseBody> {
    let status = StatusCode::PAYLOAD_TOO_LARGE;
    let mut answer = ingress::status_response(status, Some(id), None, "the body is too long");
    ingress::set_connection_close(&mut answer);
    answer
}

async fn perform_call(
    front: &Arc<Front>,
    route: &Route,
    spec: &CallSpec<'_>,
    held: Arc<HeldGuard>,
) -> Response<ResponseBody> {
    let id = spec.request_id;
    if route.kind == RouteKind::Stream {
        let relayed = tokio::select! {
            relayed = stream::relay(front, spec, held) => relayed,
            () = front.wait_until_ending() => Err(NotStarted::Failed {
                not_run: false,
                reason: calls::LEAVING.to_owned(),
            }),
        };
        return match relayed {
            Ok(answer) => answer,
            Err(NotStarted::Failed { not_run, reason }) => {
                log::warn!(event = "stream-failed", id, not_run, why = reason; "");
                let end = if not_run {
                    CallFailure::NotRun
                } else {
                    CallFailure::Unknown
                };
                failure_response(end, id)
            }
            Err(NotStarted::Suspected(refusal)) => {
                calls::log_quarantined(spec, spec.digest().await, &refusal);
                suspect_response(&refusal, id)
            }
        };
    }
    match calls::perform(front, spec).await {
        CallOutcome::Answer(answer) => {
            let Answer {
                response,
                held: arrived,
            } = *answer;
            let mut answer = Response::new(ResponseBody::Full(response.body));
            *answer.status_mut() = response.status;
            *answer.headers_mut() = response.headers;
            drop(arrived);
            if !held::try_hold_answer(&mut answer, held) {
                let held_bytes = front.held.bytes();
                log::warn!(event = "answer-dropped", id, held_bytes; "");
                return failure_response(CallFailure::Unknown, id);
            }
            answer
        }
        CallOutcome::Failed(end, _) => failure_response(end, id),
        CallOutcome::Refused(refusal) => {
            let status = StatusCode::SERVICE_UNAVAILABLE;
            let retry_after_ms = Some(refusal.retry_after_ms);
            ingress::status_response(status, Some(id), retry_after_ms, refusal.reason.as_str())
        }
        CallOutcome::Suspected(refusal) => suspect_response(&refusal, id),
    }
}

/// Refuses a request that crashes replicas or may do so, and that none has run.
fn suspect_response(refusal: &SuspectRefusal, id: &str) -> Response<ResponseBody> {
    let status = StatusCode::SERVICE_UNAVAILABLE;
    let retry_after_ms = Some(u64::from(refusal.retry_after_ms));
    ingress::status_response(status, Some(id), retry_after_ms, refusal.reason())
}

fn failure_response(end: CallFailure, id: &str) -> Response<ResponseBody> {
    match end {
        CallFailure::NotRun => {
            let status = StatusCode::SERVICE_UNAVAILABLE;
            ingress::status_response(status, Some(id), Some(BUSY_RETRY_AFTER_MS), "not run")
        }
        CallFailure::TimedOut => ingress::status_response(
            StatusCode::GATEWAY_TIMEOUT,
            Some(id),
            None,
            "no answer in time",
        ),
        CallFailure::Unknown => {
            ingress::status_response(StatusCode::BAD_GATEWAY, Some(id), None, "it may have run")
        }
    }
}
