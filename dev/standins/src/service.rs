//! A plain service that answers requests for applicants, sanctions, bids, valuations and stock.
//! It counts how often it ran the requests of each `x-request-tag` header, so that tests can check
//! for duplicate runs.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use derive::value;
use serde::Serialize;

use crate::engine::text_hash;
use crate::error::StandinError;
use crate::handle::{Control, Handle};
use crate::http::{self, Call};
use crate::reply::{self, Reply};

const TAG_HEADER: &str = "x-request-tag";
const STOCK_ITEMS_MAX: u64 = 100_000;

/// Settings of a plain service.
#[value]
pub struct ServiceSettings {
    /// Address to listen on; with port 0 the system chooses the port.
    pub listen: SocketAddr,
    /// Name of the service in its answers.
    pub name: String,
    /// Time that each call takes.
    pub service_ms: u64,
}

impl ServiceSettings {
    /// A service whose calls take no time.
    pub fn new(listen: SocketAddr, name: impl Into<String>) -> ServiceSettings {
        ServiceSettings {
            listen,
            name: name.into(),
            service_ms: 0,
        }
    }
}

#[derive(Default)]
struct Runs {
    total: u64,
    by_tag: BTreeMap<String, u64>,
}

#[derive(Serialize)]
struct Answer<'a> {
    service: &'a str,
    run: u64,
    method: &'a str,
    path: &'a str,
    body_bytes: usize,
    #[serde(flatten)]
    content: Content<'a>,
}

#[derive(Serialize)]
#[serde(untagged)]
enum Content<'a> {
    Applicant {
        applicant: &'a str,
        prior_files: u64,
    },
    Sanction {
        sanction: String,
    },
    Bid {
        bid: String,
        accepted: bool,
    },
    Valuation {
        lot: &'a str,
        rupees: u64,
    },
    Stock {
        items: Vec<StockItem>,
    },
    Other {},
}

#[derive(Serialize)]
struct StockItem {
    lot: u64,
    on_floor: bool,
}

struct Service {
    settings: ServiceSettings,
    control: Arc<Control>,
    runs: Mutex<Runs>,
}

/// Starts a plain service on `settings.listen`.
pub async fn start(settings: ServiceSettings) -> Result<Handle, StandinError> {
    let listen = settings.listen;
    let control = Control::new();
    let service = Arc::new(Service {
        settings,
        control: control.clone(),
        runs: Mutex::default(),
    });
    http::serve(listen, control, false, move |call| {
        answer(service.clone(), call)
    })
    .await
}

async fn answer(service: Arc<Service>, call: Call) -> Reply {
    match call.path.as_str() {
        "/healthz" => return reply::ok(),
        "/standin/runs" => return reply::json(200, &service.lock().by_tag),
        "/standin/total" => return reply::json(200, &service.lock().total),
        _ => {}
    }
    let run = service.count_run(&call);
    if let Some(down_ms) = service.crash_down_ms(&call) {
        tokio::time::sleep(Duration::from_millis(service.settings.service_ms)).await;
        service.control.crash(down_ms);
        return std::future::pending().await;
    }
    tokio::time::sleep(Duration::from_millis(service.settings.service_ms)).await;
    service.run_answer(&call, run)
}

impl Service {
    fn count_run(&self, call: &Call) -> u64 {
        let mut runs = self.lock();
        runs.total += 1;
        if let Some(tag) = call.header(TAG_HEADER) {
            *runs.by_tag.entry(tag.to_owned()).or_default() += 1;
        }
        runs.total
    }

    /// Time until the service listens again, if this call crashes it.
    fn crash_down_ms(&self, call: &Call) -> Option<u64> {
        let body = String::from_utf8_lossy(&call.body);
        let text = format!("{}\n{body}", call.path);
        let fault = self.control.faults.trigger_crash(&text)?;
        Some(fault.delay_ms)
    }

    fn run_answer(&self, call: &Call, run: u64) -> Reply {
        let (method, parts) = call.route();
        let content = match (method, parts.as_slice()) {
            (_, ["applicants", id]) => Content::Applicant {
                applicant: id,
                prior_files: text_hash(&[id]) % 7,
            },
            ("POST", ["sanctions", ..]) => Content::Sanction {
                sanction: format!("{}-{run}", self.settings.name),
            },
            ("POST", ["bids", ..]) => Content::Bid {
                bid: format!("{}-{run}", self.settings.name),
                accepted: true,
            },
            (_, ["valuations", lot]) => Content::Valuation {
                lot,
                rupees: 50_000 + text_hash(&[lot]) % 950_000,
            },
            (_, ["stock", ..]) => Content::Stock {
                items: stock_items(call.query_u64("items").unwrap_or(3)),
            },
            _ => Content::Other {},
        };
        let answer = Answer {
            service: &self.settings.name,
            run,
            method,
            path: &call.path,
            body_bytes: call.body.len(),
            content,
        };
        reply::json(200, &answer)
    }

    fn lock(&self) -> MutexGuard<'_, Runs> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn stock_items(items: u64) -> Vec<StockItem> {
    let lots = 1..=items.min(STOCK_ITEMS_MAX);
    lots.map(|lot| StockItem {
        lot,
        on_floor: lot % 2 == 0,
    })
    .collect()
}
