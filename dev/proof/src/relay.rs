//! TCP relay that can close or silence its open connections while new ones work, as when a
//! network device between two processes loses the state of its connections.

use std::net::{Ipv4Addr, SocketAddr};

use derive::key;
use tokio::io::copy_bidirectional;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{JoinHandle, JoinSet};

use crate::ProofError;

/// How open connections are broken.
#[key]
pub enum BreakMode {
    /// Both ends are closed.
    Cut,
    /// Both ends stay open, but no more data is forwarded.
    Silent,
}

/// A running relay; dropping it closes its listener and all its connections.
pub struct Relay {
    /// Address on which the relay listens.
    pub address: SocketAddr,
    change: watch::Sender<Option<BreakMode>>,
    task: JoinHandle<()>,
}

impl Relay {
    /// Starts a relay that forwards each connection to `to`.
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
