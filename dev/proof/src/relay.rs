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
pub enum BreakMode {
    /// They are closed at both ends.
    Cut,
    /// They stay open and carry nothing any more.
    Silent,
}

/// A running relay; dropped, it closes everything.
pub struct Relay {
    /// Where it listens.
    pub address: SocketAddr,
    change: watch::Sender<Option<BreakMode>>,
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
    pub fn break_open(&self, break_mode: BreakMode) {
        self.change.send_replace(Some(break_mode));
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(
    listener: TcpListener,
    to: SocketAddr,
    changes: watch::Receiver<Option<BreakMode>>,
) {
    let mut connections = JoinSet::new();
    while let Ok((client, _)) = listener.accept().await {
        let mut changes = changes.clone();
        changes.mark_unchanged();
        connections.spawn(forward(client, to, changes));
    }
}

async fn forward(
    mut client: TcpStream,
    to: SocketAddr,
    mut changes: watch::Receiver<Option<BreakMode>>,
) {
    let Ok(mut server) = TcpStream::connect(to).await else {
        return;
    };
    let _ = client.set_nodelay(true);
    let _ = server.set_nodelay(true);
    tokio::select! {
        _ = copy_bidirectional(&mut client, &mut server) => return,
        _ = changes.changed() => {}
    }
    if *changes.borrow() == Some(BreakMode::Silent) {
        std::future::pending::<()>().await;
    }
}
