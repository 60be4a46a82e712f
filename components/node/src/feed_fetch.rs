//! Fetches configuration texts from peers over the inner protocol.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use config::{Customers, Keep, RECORD_BYTES_MAX, Record};
use derive::wire;
use link::{CallEvent, Links};
use protocol::Open;
use tokio::sync::mpsc;
use types::{Class, CustomerName, ServiceName};

use crate::feed::TEXT_SERVICE;
use crate::feed_task::Event;

/// Timeout of one fetch.
const FETCH_TIMEOUT_MS: u32 = 2_000;
/// Path of a request for all versions that a peer holds.
const VERSIONS_PATH: &str = "versions";
/// Prefix of the path of a fetch. The path of a client's request always begins with a slash, so a
/// customer with a service named `config-text` cannot read the texts of other customers.
const CONFIG_PATH: &str = "config";
const OK: u16 = 200;

/// The object of a fetch.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum FetchTarget {
    /// The accepted text of one customer.
    Text(CustomerName),
    /// The list of customers that have an accepted text.
    Customers,
    /// The versions of all customers' texts, without the texts.
    Versions,
}

/// Version of a customer's text that a peer holds.
#[wire]
pub(crate) struct HeldVersion {
    pub(crate) customer: CustomerName,
    pub(crate) version: u64,
}

impl FetchTarget {
    /// Parses the path of an inner call; `None` for the path of a client's request.
    pub(crate) fn from_path(path: &str) -> Option<FetchTarget> {
        if path == VERSIONS_PATH {
            return Some(FetchTarget::Versions);
        }
        let rest = path.strip_prefix(CONFIG_PATH)?;
        if rest.is_empty() {
            return Some(FetchTarget::Customers);
        }
        let customer = rest.strip_prefix('/')?.parse().ok()?;
        Some(FetchTarget::Text(customer))
    }

    fn path(&self) -> String {
        match self {
            FetchTarget::Text(customer) => format!("{CONFIG_PATH}/{customer}"),
            FetchTarget::Customers => CONFIG_PATH.to_owned(),
            FetchTarget::Versions => VERSIONS_PATH.to_owned(),
        }
    }
}

/// Result of a successful fetch.
pub(crate) enum Fetched {
    Text(Box<Keep>),
    Customers(Customers),
    Versions(Vec<HeldVersion>),
}

/// Starts fetches and sends their results as events to the task that owns the ledger.
pub(crate) struct Fetcher {
    links: Links,
    events: mpsc::WeakSender<Event>,
}

impl Fetcher {
    pub(crate) fn new(links: Links, events: mpsc::WeakSender<Event>) -> Self {
        Self { links, events }
    }

    /// Starts one fetch in a task of its own.
    pub(crate) fn fetch(&self, from: SocketAddr, target: FetchTarget) {
        let links = self.links.clone();
        let events = self.events.clone();
        tokio::spawn(async move {
            let timeout = Duration::from_millis(u64::from(FETCH_TIMEOUT_MS));
            let fetched = tokio::time::timeout(timeout, fetch(&links, from, &target)).await;
            let fetched = fetched.ok().flatten();
            if let Some(events) = events.upgrade() {
                // Sending fails only after the task that owns the ledger has ended.
                let event = Event::Fetched {
                    from,
                    target,
                    fetched,
                };
                let _ = events.send(event).await;
            }
        });
    }
}

async fn fetch(links: &Links, from: SocketAddr, target: &FetchTarget) -> Option<Fetched> {
    let open = build_open(links, target)?;
    let mut call = links.call(from, open);
    let mut text = Vec::new();
    loop {
        match call.next().await {
            CallEvent::Accepted | CallEvent::Started => {}
            CallEvent::Head(head) if head.status == OK => {}
            CallEvent::Chunk(bytes) if text.len() + bytes.len() <= RECORD_BYTES_MAX => {
                text.extend_from_slice(&bytes);
            }
            CallEvent::End => return decode(target, &text),
            CallEvent::Head(_) | CallEvent::Chunk(_) | CallEvent::Failed(_) => return None,
        }
    }
}

fn decode(target: &FetchTarget, text: &[u8]) -> Option<Fetched> {
    if *target == FetchTarget::Versions {
        return serde_json::from_slice(text).ok().map(Fetched::Versions);
    }
    let record = Record::from_json(std::str::from_utf8(text).ok()?).ok()?;
    match record {
        Record::Keep(keep) => Some(Fetched::Text(Box::new(keep))),
        Record::Customers(customers) => Some(Fetched::Customers(customers)),
        Record::Publish(_) | Record::Unknown => None,
    }
}

fn build_open(links: &Links, target: &FetchTarget) -> Option<Open> {
    let service = ServiceName::new(TEXT_SERVICE).ok()?;
    let customer = match target {
        FetchTarget::Text(customer) => customer.clone(),
        // The lists belong to no customer, but the field needs a valid name.
        FetchTarget::Customers | FetchTarget::Versions => CustomerName::new(TEXT_SERVICE).ok()?,
    };
    let id = links.next_id();
    Some(Open {
        id,
        request_id: id.to_string(),
        customer: customer.clone(),
        owner: customer,
        service,
        class: Class::Background,
        idempotent: true,
        deadline_left_ms: FETCH_TIMEOUT_MS,
        method: "GET".to_owned(),
        path: target.path(),
        headers: Vec::new(),
        body: Bytes::new(),
    })
}
