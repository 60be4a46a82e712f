//! Receiver of usage reports, the platform's end of a front's duties. It stores all reports.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use serde_json::{Value, json};

use crate::error::StandinError;
use crate::handle::{Control, Handle};
use crate::http::{self, Call};
use crate::reply::{self, Reply};

/// A usage report as it was received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UsageReport {
    /// Front that sent the report, as the holder of the lease.
    pub holder: String,
    /// Fencing token of the sender; 0 if the header was missing.
    pub fence: u64,
    /// Number of the usage window.
    pub window: u64,
    /// Number of requests by customer.
    pub counts: BTreeMap<String, u64>,
}

/// Reports that a receiver stored, in the order of arrival.
#[derive(Clone, Default)]
pub struct ReceivedReports(Arc<Mutex<Vec<UsageReport>>>);

impl ReceivedReports {
    /// All reports, retries included.
    pub fn reports(&self) -> Vec<UsageReport> {
        self.lock().clone()
    }

    fn lock(&self) -> MutexGuard<'_, Vec<UsageReport>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Starts a receiver on `listen`.
pub async fn start(listen: SocketAddr) -> Result<(Handle, ReceivedReports), StandinError> {
    let received = ReceivedReports::default();
    let shared = received.clone();
    let handle = http::serve(listen, Control::new(), true, move |call| {
        let received = shared.clone();
        async move { answer(&received, &call) }
    })
    .await?;
    Ok((handle, received))
}

fn answer(received: &ReceivedReports, call: &Call) -> Reply {
    if call.path != "/usage" {
        return reply::error(404, "no-such-duty");
    }
    let body: Value = match call.json() {
        Ok(body) => body,
        Err(refusal) => return *refusal,
    };
    let header = |name: &str| call.header(name).unwrap_or_default().to_owned();
    let counts = body["Counts"].as_object().cloned().unwrap_or_default();
    received.lock().push(UsageReport {
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
