//! Replicas of both sorts: plain ones, and model replicas that stream events and take orders.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use serde_json::{Value, json};

use super::records::MODEL;
use crate::error::StandinError;
use crate::handle::{Control, Handle};
use crate::http::{self, Call};
use crate::reply::{self, Reply};

/// Settings of a replica.
#[derive(Clone)]
pub struct ReplicaSettings {
    /// Id of this life.
    pub id: String,
    /// Events of each stream; 0 for a plain replica.
    pub events: u64,
    /// Pause between events, or the time of a plain call.
    pub pause_ms: u64,
}

/// An order as it came.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReceivedOrder {
    /// Who gave it.
    pub holder: String,
    /// Fencing number of the holder.
    pub fence: u64,
    /// Version that it names.
    pub version: u64,
    /// What happens to texts in progress.
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
    working: usize,
}

/// A run in progress.
struct Working(ReplicaControl);

impl Drop for Working {
    fn drop(&mut self) {
        self.0.lock().working -= 1;
    }
}

/// What a replica was asked, and how it shall answer.
#[derive(Clone, Default)]
pub struct ReplicaControl(Arc<Mutex<State>>);

impl ReplicaControl {
    /// Runs by request id: the event behind which each began, 0 for a whole run.
    pub fn runs(&self) -> BTreeMap<String, Vec<u64>> {
        self.lock().runs.clone()
    }

    /// Customers that were named with requests of this id; empty text where none was.
    pub fn customers(&self, request_id: &str) -> BTreeSet<String> {
        let state = self.lock();
        state.customers.get(request_id).cloned().unwrap_or_default()
    }

    /// Requests that came with a customer's key.
    pub fn requests_with_key(&self) -> usize {
        self.lock().keys
    }

    /// Orders that were accepted.
    pub fn orders(&self) -> Vec<ReceivedOrder> {
        self.lock().orders.clone()
    }

    /// Runs in progress.
    pub fn active_runs(&self) -> usize {
        self.lock().working
    }

    fn begin(&self) -> Working {
        self.lock().working += 1;
        Working(self.clone())
    }

    /// Sets the version of the weights.
    pub fn set_version(&self, version: u64) {
        self.lock().version = version;
    }

    /// Requests with this id are answered with this status.
    pub fn answer_with(&self, request_id: &str, status: u16) {
        self.lock().answers.insert(request_id.to_owned(), status);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Starts a replica; it ends what it does for a caller that goes away.
pub async fn start(
    listen: SocketAddr,
    settings: ReplicaSettings,
) -> Result<(Handle, ReplicaControl), StandinError> {
    let seen = ReplicaControl::default();
    seen.set_version(1);
    let answering = seen.clone();
    let handle = http::serve(listen, Control::new(), true, move |call| {
        let (settings, seen) = (settings.clone(), answering.clone());
        async move { answer(&settings, &seen, call).await }
    })
    .await?;
    Ok((handle, seen))
}

async fn answer(settings: &ReplicaSettings, seen: &ReplicaControl, call: Call) -> Reply {
    let expected = call.header("hornbeamrock-expect-instance");
    if expected.is_some_and(|expected| expected != settings.id) {
        return with(
            reply::error(421, "another"),
            &call,
            &[("replica-id", &settings.id)],
        );
    }
    match call.path.as_str() {
        "/v1/report" => report(seen),
        "/v1/order" => order(seen, &call),
        _ => run(settings, seen, &call).await,
    }
}

fn report(seen: &ReplicaControl) -> Reply {
    let state = seen.lock();
    reply::json(
        200,
        &json!({
            "Stage": "mixed", "Busy": false, "Seq": state.orders.len(),
            "Models": [{ "Name": MODEL, "Version": state.version, "Adapters": [] }]
        }),
    )
}

fn order(seen: &ReplicaControl, call: &Call) -> Reply {
    let order: Value = match call.json() {
        Ok(order) => order,
        Err(refusal) => return *refusal,
    };
    let mut state = seen.lock();
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

async fn run(settings: &ReplicaSettings, seen: &ReplicaControl, call: &Call) -> Reply {
    let id = call
        .header("hornbeamrock-request-id")
        .unwrap_or_default()
        .to_owned();
    let last = call
        .header("last-event-id")
        .and_then(|text| text.parse().ok())
        .unwrap_or(0);
    let (version, status) = {
        let mut state = seen.lock();
        state.runs.entry(id.clone()).or_default().push(last);
        let customer = call.header("hornbeamrock-tenant").unwrap_or_default();
        let named = state.customers.entry(id.clone()).or_default();
        named.insert(customer.to_owned());
        state.keys += usize::from(call.header("hornbeamrock-key").is_some());
        (state.version, state.answers.get(&id).copied())
    };
    let working = seen.begin();
    let stamp = format!("stamp-{id}");
    if let Some(status) = status {
        return with(
            reply::error(status, "as-told"),
            call,
            &[("server-stamp", &stamp)],
        );
    }
    if settings.events == 0 {
        tokio::time::sleep(Duration::from_millis(settings.pause_ms)).await;
        let body = Bytes::from(format!("{} {}", call.path, call.body.len()));
        return with(reply::bytes(200, body), call, &[("server-stamp", &stamp)]);
    }
    let (chunks, answer) = reply::stream();
    let (events, pause_ms) = (settings.events, settings.pause_ms);
    tokio::spawn(async move {
        let _working = working;
        for event in last + 1..=events {
            tokio::time::sleep(Duration::from_millis(pause_ms)).await;
            let text = format!("id: {event}\ndata: word-{event}\n\n");
            if chunks.send(Ok(text.into())).await.is_err() {
                return;
            }
        }
    });
    let version = version.to_string();
    with(
        answer,
        call,
        &[("server-stamp", &stamp), ("weight-versions", &version)],
    )
}

/// Adds the echo of the request's id and the platform's headers with these names.
fn with(mut answer: Reply, call: &Call, headers: &[(&str, &str)]) -> Reply {
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
