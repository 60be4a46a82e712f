//! Plain replicas, and model replicas that stream events and accept orders.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use serde_json::{Value, json};
use tokio::sync::Semaphore;

use super::records::MODEL;
use crate::error::StandinError;
use crate::handle::{Control, Handle};
use crate::http::{self, Call};
use crate::reply::{self, Reply};

/// Settings of a replica.
#[derive(Clone)]
pub struct ReplicaSettings {
    /// Replica id; a restarted replica has a new one.
    pub id: String,
    /// Events of a complete stream; 0 for a plain replica.
    pub events: u64,
    /// Time between the events of a stream, or time that a plain call takes.
    pub pause_ms: u64,
}

/// An order as it was received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReceivedOrder {
    /// Front that sent the order, as the holder of the lease.
    pub holder: String,
    /// Fencing token of the holder.
    pub fence: u64,
    /// Version to load.
    pub version: u64,
    /// How the order treats texts in progress.
    pub mode: String,
}

#[derive(Default)]
struct State {
    version: u64,
    runs: BTreeMap<String, Vec<u64>>,
    customers: BTreeMap<String, BTreeSet<String>>,
    keys: usize,
    orders: Vec<ReceivedOrder>,
    answers: BTreeMap<String, u16>,
    answer_status: Option<u16>,
    answer_bytes: Option<usize>,
    keep_alive_s: Option<u64>,
    active_runs: usize,
    full: bool,
    refused: usize,
    end_gate: Option<EndGate>,
    /// Bytes that are added to each event, by request id.
    event_padding: BTreeMap<String, usize>,
}

/// Permits that streams wait for before they end.
#[derive(Clone)]
struct EndGate {
    permits: Arc<Semaphore>,
    holds_resumed: bool,
}

/// Counts a run as active until it is dropped.
struct RunGuard(ReplicaControl);

impl Drop for RunGuard {
    fn drop(&mut self) {
        self.0.lock().active_runs -= 1;
    }
}

/// Access of a test to a running replica: what it received, and how it answers.
#[derive(Clone, Default)]
pub struct ReplicaControl(Arc<Mutex<State>>);

impl ReplicaControl {
    /// Runs by request id. Each run is given as the event after which it resumed, 0 for a run from
    /// the start.
    pub fn runs(&self) -> BTreeMap<String, Vec<u64>> {
        self.lock().runs.clone()
    }

    /// Customers named in requests with this id; the empty string for a request without a customer.
    pub fn customers(&self, request_id: &str) -> BTreeSet<String> {
        let state = self.lock();
        state.customers.get(request_id).cloned().unwrap_or_default()
    }

    /// Number of requests that carried a customer's key.
    pub fn requests_with_key(&self) -> usize {
        self.lock().keys
    }

    /// Accepted orders, in the order of arrival.
    pub fn orders(&self) -> Vec<ReceivedOrder> {
        self.lock().orders.clone()
    }

    /// Number of runs in progress.
    pub fn active_runs(&self) -> usize {
        self.lock().active_runs
    }

    /// Refuses later requests without running them, or runs them again.
    pub fn set_full(&self, full: bool) {
        self.lock().full = full;
    }

    /// Number of requests that the replica refused because it was full.
    pub fn refused(&self) -> usize {
        self.lock().refused
    }

    /// Lets each later stream that was not resumed wait for a permit before it ends, after its last
    /// event. Several replicas can share the permits.
    pub fn hold_ends(&self, permits: &Arc<Semaphore>) {
        self.lock().end_gate = Some(EndGate {
            permits: Arc::clone(permits),
            holds_resumed: false,
        });
    }

    /// As [`ReplicaControl::hold_ends`], for resumed streams too.
    pub fn hold_all_ends(&self, permits: &Arc<Semaphore>) {
        self.lock().end_gate = Some(EndGate {
            permits: Arc::clone(permits),
            holds_resumed: true,
        });
    }

    /// Adds so many bytes to each event of later runs of a request.
    pub fn pad_events(&self, request_id: &str, bytes: usize) {
        let mut state = self.lock();
        state.event_padding.insert(request_id.to_owned(), bytes);
    }

    fn begin_run(&self) -> RunGuard {
        self.lock().active_runs += 1;
        RunGuard(self.clone())
    }

    /// Sets the version of the weights that reports and answers state.
    pub fn set_version(&self, version: u64) {
        self.lock().version = version;
    }

    /// Answers later requests with this id with an error of this status.
    pub fn answer_with(&self, request_id: &str, status: u16) {
        self.lock().answers.insert(request_id.to_owned(), status);
    }

    /// Answers all later requests with an error of this status.
    pub fn answer_all_with(&self, status: u16) {
        self.lock().answer_status = Some(status);
    }

    /// Ends the effect of [`ReplicaControl::answer_all_with`].
    pub fn answer_normally(&self) {
        self.lock().answer_status = None;
    }

    /// Answers later plain calls with a body of this length.
    pub fn answer_with_bytes(&self, bytes: usize) {
        self.lock().answer_bytes = Some(bytes);
    }

    /// States in later answers how long an idle connection is kept.
    pub fn state_keep_alive(&self, seconds: u64) {
        self.lock().keep_alive_s = Some(seconds);
    }

    fn add_keep_alive(&self, reply: &mut Reply) {
        let seconds = self.lock().keep_alive_s;
        let value = seconds.and_then(|seconds| format!("timeout={seconds}").parse().ok());
        if let Some(value) = value {
            let name = ::http::HeaderName::from_static("keep-alive");
            reply.headers_mut().insert(name, value);
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Starts a replica on weight version 1. A request is cancelled when its caller disconnects. With
/// [`FaultKind::CrashOn`](crate::FaultKind::CrashOn), the replica crashes after `pause_ms` when it
/// runs a request whose body contains the fault's text, also if its caller has disconnected by then,
/// unless it answers the request with an error.
pub async fn start(
    listen: SocketAddr,
    settings: ReplicaSettings,
) -> Result<(Handle, ReplicaControl), StandinError> {
    let control = ReplicaControl::default();
    control.set_version(1);
    let shared = control.clone();
    let process = Control::new();
    let crashing = Arc::clone(&process);
    let handle = http::serve(listen, process, true, move |call| {
        let (settings, control) = (settings.clone(), shared.clone());
        let process = Arc::clone(&crashing);
        async move {
            let mut reply = answer(&settings, &control, &process, call).await;
            control.add_keep_alive(&mut reply);
            reply
        }
    })
    .await?;
    Ok((handle, control))
}

async fn answer(
    settings: &ReplicaSettings,
    control: &ReplicaControl,
    process: &Arc<Control>,
    call: Call,
) -> Reply {
    let expected = call.header("hornbeamrock-expect-instance");
    if expected.is_some_and(|expected| expected != settings.id) {
        return with_headers(
            reply::error(421, "another"),
            &call,
            &[("replica-id", &settings.id)],
        );
    }
    match call.path.as_str() {
        "/health" => with_headers(
            reply::json(200, &json!({})),
            &call,
            &[("replica-id", &settings.id)],
        ),
        "/v1/report" => report(control),
        "/v1/order" => order(control, &call),
        _ => run(settings, control, process, &call).await,
    }
}

fn report(control: &ReplicaControl) -> Reply {
    let state = control.lock();
    reply::json(
        200,
        &json!({
            "Stage": "mixed", "Busy": false, "Seq": state.orders.len(),
            "Models": [{ "Name": MODEL, "Version": state.version, "Adapters": [] }]
        }),
    )
}

fn order(control: &ReplicaControl, call: &Call) -> Reply {
    let order: Value = match call.json() {
        Ok(order) => order,
        Err(refusal) => return *refusal,
    };
    let mut state = control.lock();
    let expected = order["Expect"].as_u64();
    if expected.is_some_and(|expected| expected != state.orders.len() as u64) {
        return reply::error(409, "another-count");
    }
    let version = order["Version"].as_u64().unwrap_or(0);
    state.orders.push(ReceivedOrder {
        holder: order["Holder"].as_str().unwrap_or_default().to_owned(),
        fence: order["Fence"].as_u64().unwrap_or(0),
        version,
        mode: order["Mode"].as_str().unwrap_or_default().to_owned(),
    });
    state.version = version;
    reply::json(202, &json!({}))
}

async fn run(
    settings: &ReplicaSettings,
    control: &ReplicaControl,
    process: &Arc<Control>,
    call: &Call,
) -> Reply {
    let id = call
        .header("hornbeamrock-request-id")
        .unwrap_or_default()
        .to_owned();
    let last_event = call
        .header("last-event-id")
        .and_then(|text| text.parse().ok())
        .unwrap_or(0);
    let (version, status) = {
        let mut state = control.lock();
        if state.full {
            state.refused += 1;
            return with_headers(reply::error(503, "full"), call, &[("not-run", "1")]);
        }
        state.runs.entry(id.clone()).or_default().push(last_event);
        let customer = call.header("hornbeamrock-tenant").unwrap_or_default();
        let named = state.customers.entry(id.clone()).or_default();
        named.insert(customer.to_owned());
        state.keys += usize::from(call.header("hornbeamrock-key").is_some());
        let status = state.answers.get(&id).copied().or(state.answer_status);
        (state.version, status)
    };
    let run_guard = control.begin_run();
    let stamp = format!("stamp-{id}");
    if let Some(status) = status {
        return with_headers(
            reply::error(status, "as-told"),
            call,
            &[("server-stamp", &stamp)],
        );
    }
    let body = String::from_utf8_lossy(&call.body);
    if let Some(fault) = process.faults.trigger_crash(&body) {
        let (process, pause_ms) = (Arc::clone(process), settings.pause_ms);
        tokio::spawn(async move {
            tokio::time::sleep(Duration::from_millis(pause_ms)).await;
            process.crash_with_address(fault.delay_ms, fault.accepts);
        });
        return std::future::pending().await;
    }
    if settings.events == 0 {
        tokio::time::sleep(Duration::from_millis(settings.pause_ms)).await;
        let bytes = control.lock().answer_bytes;
        let body = match bytes {
            Some(bytes) => Bytes::from(vec![b'x'; bytes]),
            None => Bytes::from(format!("{} {}", call.path, call.body.len())),
        };
        return with_headers(reply::bytes(200, body), call, &[("server-stamp", &stamp)]);
    }
    let end_gate = control.lock().end_gate.clone();
    let end_gate = end_gate.filter(|gate| gate.holds_resumed || last_event == 0);
    let padding_bytes = control.lock().event_padding.get(&id).copied();
    let padding = "x".repeat(padding_bytes.unwrap_or(0));
    let (chunks, answer) = reply::stream();
    let (events, pause_ms) = (settings.events, settings.pause_ms);
    tokio::spawn(async move {
        let _run_guard = run_guard;
        for event in last_event + 1..=events {
            tokio::time::sleep(Duration::from_millis(pause_ms)).await;
            let text = format!("id: {event}\ndata: word-{event}{padding}\n\n");
            if chunks.send(Ok(text.into())).await.is_err() {
                return;
            }
        }
        if let Some(gate) = end_gate
            && let Ok(permit) = gate.permits.acquire().await
        {
            permit.forget();
        }
    });
    let version = version.to_string();
    with_headers(
        answer,
        call,
        &[("server-stamp", &stamp), ("weight-versions", &version)],
    )
}

/// Adds the request id and the given headers, with the prefix `hornbeamrock-` before each name.
fn with_headers(mut answer: Reply, call: &Call, headers: &[(&str, &str)]) -> Reply {
    let id = call.header("hornbeamrock-request-id").unwrap_or_default();
    for (name, value) in headers.iter().chain(&[("request-id", id)]) {
        let name = format!("hornbeamrock-{name}");
        let name = ::http::HeaderName::from_bytes(name.as_bytes());
        if let (Ok(name), Ok(value)) = (name, value.parse()) {
            answer.headers_mut().insert(name, value);
        }
    }
    answer
}
