//! A caller and a callee on loopback sockets, and a proxy between them that can close
//! connections or stop forwarding.
#![allow(dead_code, clippy::unwrap_used)] // clippy.toml exempts only test functions.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering::SeqCst};

use bytes::Bytes;
use link::{Call, CallEvent, IncomingCall, Key, Keys, LinkSettings, Links, serve};
use protocol::{Head, Open, ProcessRole};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;
use types::{Class, CustomerName, FailureDomain, Incarnation, NodeId, ServiceName};

pub const LOOPBACK: &str = "127.0.0.1:0";

pub fn settings(address: SocketAddr, keys: Keys) -> LinkSettings {
    let node = NodeId {
        address,
        incarnation: Incarnation(1),
    };
    let failure_domain = FailureDomain::new("rennes-a").unwrap();
    LinkSettings {
        ping_after_ms: 60,
        ping_deadline_ms: 60,
        reattach_for_ms: 3_000,
        ..LinkSettings::new(node, ProcessRole::Agent, failure_domain, keys)
    }
}

pub fn key(byte: u8) -> Key {
    Key::new([byte; 32])
}

pub fn keys() -> Keys {
    Keys::one(key(1))
}

pub fn open(links: &Links, body: &[u8]) -> Open {
    Open {
        id: links.next_id(),
        request_id: "r-1".to_owned(),
        customer: CustomerName::new("office").unwrap(),
        owner: CustomerName::new("office").unwrap(),
        service: ServiceName::new("guichet").unwrap(),
        class: Class::Interactive,
        idempotent: false,
        deadline_left_ms: 20_000,
        method: "POST".to_owned(),
        path: "/sanctions".to_owned(),
        headers: vec![("accept".to_owned(), "*/*".to_owned())],
        body: Bytes::copy_from_slice(body),
    }
}

pub fn head() -> Head {
    Head {
        status: 200,
        headers: vec![("content-type".to_owned(), "text/plain".to_owned())],
    }
}

/// A callee that puts the calls it receives into `calls`.
pub struct Callee {
    pub address: SocketAddr,
    pub calls: mpsc::UnboundedReceiver<IncomingCall>,
    pub runs: Arc<AtomicUsize>,
    pub settings: LinkSettings,
    pub stop: watch::Sender<bool>,
    pub task: tokio::task::JoinHandle<()>,
}

impl Callee {
    pub async fn start(change: impl FnOnce(&mut LinkSettings)) -> Callee {
        Callee::start_at(LOOPBACK.parse().unwrap(), change).await
    }

    pub async fn start_at(at: SocketAddr, change: impl FnOnce(&mut LinkSettings)) -> Callee {
        let listener = bind(at).await;
        let address = listener.local_addr().unwrap();
        let mut settings = settings(address, keys());
        change(&mut settings);
        let (call_sender, calls) = mpsc::unbounded_channel();
        let runs = Arc::new(AtomicUsize::new(0));
        let (stop, mut stopped) = watch::channel(false);
        let run_count = runs.clone();
        let handle = move |incoming: IncomingCall| {
            run_count.fetch_add(1, SeqCst);
            call_sender.send(incoming).unwrap();
        };
        let served = settings.clone();
        let task = tokio::spawn(async move {
            let stop = async move { drop(stopped.wait_for(|&stop| stop).await) };
            serve(listener, served, handle, stop).await;
        });
        Callee {
            address,
            calls,
            runs,
            settings,
            stop,
            task,
        }
    }

    pub async fn next(&mut self) -> IncomingCall {
        self.calls.recv().await.unwrap()
    }

    pub fn runs(&self) -> usize {
        self.runs.load(SeqCst)
    }
}

/// Binds to `at`; retries while a callee that was stopped still holds the address.
async fn bind(at: SocketAddr) -> TcpListener {
    loop {
        match TcpListener::bind(at).await {
            Ok(listener) => return listener,
            Err(_) => tokio::task::yield_now().await,
        }
    }
}

pub fn links(change: impl FnOnce(&mut LinkSettings)) -> Links {
    let mut settings = settings("127.0.0.1:1".parse().unwrap(), keys());
    change(&mut settings);
    Links::new(settings)
}

/// Collects all events up to the last one and joins consecutive chunks.
pub async fn collect_events(call: &mut Call) -> Vec<CallEvent> {
    let mut events: Vec<CallEvent> = Vec::new();
    loop {
        let event = call.next().await;
        let is_last = matches!(event, CallEvent::End | CallEvent::Failed(_));
        match (events.last_mut(), event) {
            (Some(CallEvent::Chunk(before)), CallEvent::Chunk(more)) => {
                *before = Bytes::from([&before[..], &more[..]].concat());
            }
            (_, event) => events.push(event),
        }
        if is_last {
            return events;
        }
    }
}

/// How the proxy handles a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProxyMode {
    Forward,
    /// The connection stays open and no bytes are forwarded.
    Silent,
    /// The connection is closed at once.
    Cut,
}

/// Forwards connections. `existing` holds the mode of connections that were accepted before,
/// `new` the initial mode of later ones.
pub struct Proxy {
    pub address: SocketAddr,
    pub existing: watch::Sender<ProxyMode>,
    pub new: watch::Sender<ProxyMode>,
    pub connection_count: watch::Receiver<usize>,
    task: tokio::task::JoinHandle<()>,
}

impl Proxy {
    pub async fn start(to: SocketAddr) -> Proxy {
        let listener = TcpListener::bind(LOOPBACK).await.unwrap();
        let address = listener.local_addr().unwrap();
        let (existing, existing_mode) = watch::channel(ProxyMode::Forward);
        let (new, new_mode) = watch::channel(ProxyMode::Forward);
        let (count_sender, connection_count) = watch::channel(0);
        let task = tokio::spawn(async move {
            let mut connections = JoinSet::new();
            loop {
                let (near, _) = listener.accept().await.unwrap();
                count_sender.send_modify(|count| *count += 1);
                let first = *new_mode.borrow();
                connections.spawn(forward(near, to, first, existing_mode.clone()));
            }
        });
        Proxy {
            address,
            existing,
            new,
            connection_count,
            task,
        }
    }

    /// Changes the mode of the existing connections; new ones are forwarded.
    pub fn set_mode(&self, mode: ProxyMode) {
        self.existing.send_replace(mode);
    }

    pub async fn wait_for_connections(&mut self, count: usize) {
        self.connection_count
            .wait_for(|&made| made >= count)
            .await
            .unwrap();
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn forward(
    near: TcpStream,
    to: SocketAddr,
    first: ProxyMode,
    mut mode: watch::Receiver<ProxyMode>,
) {
    if first == ProxyMode::Cut {
        return;
    }
    let Ok(far) = TcpStream::connect(to).await else {
        return;
    };
    mode.mark_unchanged();
    let (mut near_read, mut near_write) = near.into_split();
    let (mut far_read, mut far_write) = far.into_split();
    let copy = async {
        let forth = tokio::io::copy(&mut near_read, &mut far_write);
        let back = tokio::io::copy(&mut far_read, &mut near_write);
        tokio::select! { _ = forth => {}, _ = back => {} }
    };
    if first == ProxyMode::Forward {
        tokio::select! {
            () = copy => return,
            _ = mode.changed() => {}
        }
    }
    if first == ProxyMode::Silent || *mode.borrow() == ProxyMode::Silent {
        std::future::pending::<()>().await;
    }
}
