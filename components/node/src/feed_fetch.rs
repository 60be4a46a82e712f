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

/// Time for one fetch.
const FETCH_MS: u32 = 2_000;
/// The path of a fetch of all versions that a peer holds.
const VERSIONS_PATH: &str = "versions";
/// Begins the path of a fetch. A caller's path always begins with a slash, so nobody who
/// names a service of his own `config-text` reads other customers' texts through it.
const PATH: &str = "config";
const OK: u16 = 200;

/// What is fetched.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Wanted {
    /// One customer's accepted version.
    Text(CustomerName),
    /// The list of customers that have one.
    Customers,
    /// All versions that the peer holds.
    Versions,
}

/// A version that a peer holds.
#[wire]
pub(crate) struct HeldVersion {
    pub(crate) customer: CustomerName,
    pub(crate) version: u64,
}

impl Wanted {
    /// What a path asks for; `None` for a caller's path.
    pub(crate) fn of_path(path: &str) -> Option<Wanted> {
        if path == VERSIONS_PATH {
            return Some(Wanted::Versions);
        }
        let rest = path.strip_prefix(PATH)?;
        if rest.is_empty() {
            return Some(Wanted::Customers);
        }
        let customer = rest.strip_prefix('/')?.parse().ok()?;
        Some(Wanted::Text(customer))
    }

    fn path(&self) -> String {
        match self {
            Wanted::Text(customer) => format!("{PATH}/{customer}"),
            Wanted::Customers => PATH.to_owned(),
            Wanted::Versions => VERSIONS_PATH.to_owned(),
        }
    }
}

/// What a fetch brought.
pub(crate) enum Fetched {
    Text(Box<Keep>),
    Customers(Customers),
    Versions(Vec<HeldVersion>),
}

/// Starts fetches; their results come back as events.
pub(crate) struct Fetcher {
    links: Links,
    events: mpsc::WeakSender<Event>,
}

impl Fetcher {
    pub(crate) fn new(links: Links, events: mpsc::WeakSender<Event>) -> Self {
        Self { links, events }
    }

    /// Starts one fetch.
    pub(crate) fn fetch(&self, from: SocketAddr, wanted: Wanted) {
        let links = self.links.clone();
        let events = self.events.clone();
        tokio::spawn(async move {
            let timeout = Duration::from_millis(u64::from(FETCH_MS));
            let fetched = tokio::time::timeout(timeout, fetch(&links, from, &wanted)).await;
            let fetched = fetched.ok().flatten();
            if let Some(events) = events.upgrade() {
                // Without an owner nobody needs the text.
                let event = Event::Fetched {
                    from,
                    wanted,
                    fetched,
                };
                let _ = events.send(event).await;
            }
        });
    }
}

async fn fetch(links: &Links, from: SocketAddr, wanted: &Wanted) -> Option<Fetched> {
    let open = open(links, wanted)?;
    let mut call = links.call(from, open);
    let mut text = Vec::new();
    loop {
        match call.next().await {
            CallEvent::Accepted | CallEvent::Started => {}
            CallEvent::Head(head) if head.status == OK => {}
            CallEvent::Chunk(bytes) if text.len() + bytes.len() <= RECORD_BYTES_MAX => {
                text.extend_from_slice(&bytes);
            }
            CallEvent::End => return read(wanted, &text),
            CallEvent::Head(_) | CallEvent::Chunk(_) | CallEvent::Failed(_) => return None,
        }
    }
}

fn read(wanted: &Wanted, text: &[u8]) -> Option<Fetched> {
    if *wanted == Wanted::Versions {
        return serde_json::from_slice(text).ok().map(Fetched::Versions);
    }
    let record = Record::from_json(std::str::from_utf8(text).ok()?).ok()?;
    match record {
        Record::Keep(keep) => Some(Fetched::Text(Box::new(keep))),
        Record::Customers(customers) => Some(Fetched::Customers(customers)),
        Record::Publish(_) | Record::Unknown => None,
    }
}

fn open(links: &Links, wanted: &Wanted) -> Option<Open> {
    let service = ServiceName::new(TEXT_SERVICE).ok()?;
    let customer = match wanted {
        Wanted::Text(customer) => customer.clone(),
        // The lists belong to nobody; the field has to be filled.
        Wanted::Customers | Wanted::Versions => CustomerName::new(TEXT_SERVICE).ok()?,
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
        deadline_left_ms: FETCH_MS,
        method: "GET".to_owned(),
        path: wanted.path(),
        headers: Vec::new(),
        body: Bytes::new(),
    })
}
