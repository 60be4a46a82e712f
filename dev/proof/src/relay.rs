//! A relay for TCP connections, whose open ones can be cut or go silent while new ones
//! work, as when something on the way has lost track of them.

use std::net::{Ipv4Addr, SocketAddr};

use derive::key;
use tokio::io::copy_bidirectional;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{JoinHandle, JoinSet};

use crate::ProofError;

/// What becomes of the open connections.
#[key]
pub enum Way {
    /// They are closed at both ends.
    Cut,
    /// They stay open and carry nothing any more.
    Silent,
}

/// A running relay; dropped, it closes everything.
pub struct Relay {
    /// Where it listens.
    pub address: SocketAddr,
    change: watch::Sender<Option<Way>>,
    task: JoinHandle<()>,
}

impl Relay {
    /// Passes everything on to `to`.
    pub async fn start(to: SocketAddr) -> Result<Relay, ProofError> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let (change, changes) = watch::channel(None);
        let task = tokio::spawn(accept(listener, to, changes));
        Ok(Relay {
            address,
            change,
            task,
        })
    }

    /// Breaks all open connections.
    pub fn break_open(&self, way: Way) {
        self.change.send_replace(Some(way));
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(listener: TcpListener, to: SocketAddr, changes: watch::Receiver<Option<Way>>) {
    let mut connections = JoinSet::new();
    while let Ok((near, _)) = listener.accept().await {
        let mut changes = changes.clone();
        changes.mark_unchanged();
        connections.spawn(pass(near, to, changes));
    }
}

async fn pass(mut near: TcpStream, to: SocketAddr, mut changes: watch::Receiver<Option<Way>>) {
    let Ok(mut far) = TcpStream::connect(to).await else {
        return;
    };
    let _ = near.set_nodelay(true);
    let _ = far.set_nodelay(true);
    tokio::select! {
        _ = copy_bidirectional(&mut near, &mut far) => return,
        _ = changes.changed() => {}
    }
    if *changes.borrow() == Some(Way::Silent) {
        std::future::pending::<()>().await;
    }
}
