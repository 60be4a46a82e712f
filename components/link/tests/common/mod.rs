//! A caller and a callee on loopback sockets, and a proxy between them that can cut or
//! silence what goes through it.
#![allow(dead_code, clippy::unwrap_used)] // The exemption of clippy.toml ends at helpers of tests.

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

/// A callee whose calls come out of `calls`.
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
        let (calls_in, calls) = mpsc::unbounded_channel();
        let runs = Arc::new(AtomicUsize::new(0));
        let (stop, mut stopped) = watch::channel(false);
        let counted = runs.clone();
        let handle = move |incoming: IncomingCall| {
            counted.fetch_add(1, SeqCst);
            calls_in.send(incoming).unwrap();
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

/// Binds; waits while an earlier life of the callee still holds the address.
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

/// All events to the last one, with consecutive chunks joined.
pub async fn all(call: &mut Call) -> Vec<CallEvent> {
    let mut events: Vec<CallEvent> = Vec::new();
    loop {
        let event = call.next().await;
        let last = matches!(event, CallEvent::End | CallEvent::Failed(_));
        match (events.last_mut(), event) {
            (Some(CallEvent::Chunk(before)), CallEvent::Chunk(more)) => {
                *before = Bytes::from([&before[..], &more[..]].concat());
            }
            (_, event) => events.push(event),
        }
        if last {
            return events;
        }
    }
}

/// What the proxy does with bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    Open,
    /// Connections stay open and carry nothing.
    Silent,
    /// Connections are closed as soon as they are there.
    Cut,
}

/// Passes connections on; `set` changes the way of those that are there, `next` of those
/// that come later.
pub struct Proxy {
    pub address: SocketAddr,
    pub now: watch::Sender<Way>,
    pub later: watch::Sender<Way>,
    pub made: watch::Receiver<usize>,
    task: tokio::task::JoinHandle<()>,
}

impl Proxy {
    pub async fn start(to: SocketAddr) -> Proxy {
        let listener = TcpListener::bind(LOOPBACK).await.unwrap();
        let address = listener.local_addr().unwrap();
        let (now, now_seen) = watch::channel(Way::Open);
        let (later, later_seen) = watch::channel(Way::Open);
        let (made_in, made) = watch::channel(0);
        let task = tokio::spawn(async move {
            let mut connections = JoinSet::new();
            loop {
                let (near, _) = listener.accept().await.unwrap();
                made_in.send_modify(|made| *made += 1);
                let first = *later_seen.borrow();
                connections.spawn(pass(near, to, first, now_seen.clone()));
            }
        });
        Proxy {
            address,
            now,
            later,
            made,
            task,
        }
    }

    /// Changes the way of the connections that are there; new ones stay open.
    pub fn change(&self, way: Way) {
        self.now.send_replace(way);
    }

    pub async fn made(&mut self, count: usize) {
        self.made.wait_for(|&made| made >= count).await.unwrap();
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn pass(near: TcpStream, to: SocketAddr, first: Way, mut now: watch::Receiver<Way>) {
    if first == Way::Cut {
        return;
    }
    let Ok(far) = TcpStream::connect(to).await else {
        return;
    };
    now.mark_unchanged();
    let (mut near_in, mut near_out) = near.into_split();
    let (mut far_in, mut far_out) = far.into_split();
    let carry = async {
        let there = tokio::io::copy(&mut near_in, &mut far_out);
        let back = tokio::io::copy(&mut far_in, &mut near_out);
        tokio::select! { _ = there => {}, _ = back => {} }
    };
    if first == Way::Open {
        tokio::select! {
            () = carry => return,
            _ = now.changed() => {}
        }
    }
    if first == Way::Silent || *now.borrow() == Way::Silent {
        std::future::pending::<()>().await;
    }
}
