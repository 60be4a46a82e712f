//! The receiver of the platform's duties: takes reports of usage and remembers them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use serde_json::{Value, json};

use crate::error::StandinError;
use crate::handle::{Control, Handle};
use crate::http::{self, Call};
use crate::reply::{self, Reply};

/// A report of usage as it came.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UsageReport {
    /// Who sent it.
    pub holder: String,
    /// Fencing number of the sender.
    pub fence: u64,
    /// The window.
    pub window: u64,
    /// Requests by customer.
    pub counts: BTreeMap<String, u64>,
}

/// What the receiver was told, in order.
#[derive(Clone, Default)]
pub struct ReceivedReports(Arc<Mutex<Vec<UsageReport>>>);

impl ReceivedReports {
    /// All reports, repetitions included.
    pub fn reports(&self) -> Vec<UsageReport> {
        self.lock().clone()
    }

    fn lock(&self) -> MutexGuard<'_, Vec<UsageReport>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Starts the receiver.
pub async fn start(listen: SocketAddr) -> Result<(Handle, ReceivedReports), StandinError> {
    let told = ReceivedReports::default();
    let taking = told.clone();
    let handle = http::serve(listen, Control::new(), true, move |call| {
        let told = taking.clone();
        async move { answer(&told, &call) }
    })
    .await?;
    Ok((handle, told))
}

fn answer(told: &ReceivedReports, call: &Call) -> Reply {
    if call.path != "/usage" {
        return reply::error(404, "no-such-duty");
    }
    let body: Value = match call.json() {
        Ok(body) => body,
        Err(refusal) => return *refusal,
    };
    let header = |name: &str| call.header(name).unwrap_or_default().to_owned();
    let counts = body["Counts"].as_object().cloned().unwrap_or_default();
    told.lock().push(UsageReport {
        holder: header("hornbeamrock-lease-holder"),
        fence: header("hornbeamrock-fence-token").parse().unwrap_or(0),
        window: body["Window"].as_u64().unwrap_or(0),
        counts: counts
            .into_iter()
            .map(|(customer, count)| (customer, count.as_u64().unwrap_or(0)))
            .collect(),
    });
    reply::json(200, &json!({}))
}
