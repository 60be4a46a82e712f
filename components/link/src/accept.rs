//! Callee side: accepts connections and performs their handshakes.
//!
//! This happens in tasks of its own, so that a peer that does not complete its handshake does
//! not delay the task that serves calls.

use std::sync::Arc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc};
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::sleep;

use crate::connection::EstablishedConnection;
use crate::{LinkSettings, handshake};

/// Handshakes in progress at a time; further connections are closed at once.
const HANDSHAKES_MAX: usize = 256;
/// Established connections that wait for the server task.
const ESTABLISHED_QUEUE_MAX: usize = 64;
/// Pause after a failed accept, mostly for lack of file descriptors, so that the loop does
/// not spin.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Handle of the accepting task, which stops when the handle is dropped.
pub(crate) struct Acceptor {
    pub established: mpsc::Receiver<EstablishedConnection>,
    task: AbortHandle,
}

impl Acceptor {
    pub fn start(listener: TcpListener, settings: LinkSettings, boot: u64) -> Self {
        let (established_sender, established) = mpsc::channel(ESTABLISHED_QUEUE_MAX);
        let task = tokio::spawn(accept(listener, settings, boot, established_sender));
        Self {
            established,
            task: task.abort_handle(),
        }
    }
}

impl Drop for Acceptor {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(
    listener: TcpListener,
    settings: LinkSettings,
    boot: u64,
    established: mpsc::Sender<EstablishedConnection>,
) {
    let slots = Arc::new(Semaphore::new(HANDSHAKES_MAX));
    let mut handshakes = JoinSet::new();
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!(event = "accept-failed", cause:% = error; "");
                sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        while handshakes.try_join_next().is_some() {}
        if let Ok(slot) = slots.clone().try_acquire_owned() {
            let (settings, established) = (settings.clone(), established.clone());
            handshakes.spawn(async move {
                perform_handshake(stream, &settings, boot, &established).await;
                drop(slot);
            });
        }
    }
}

async fn perform_handshake(
    stream: TcpStream,
    settings: &LinkSettings,
    boot: u64,
    established: &mpsc::Sender<EstablishedConnection>,
) {
    match handshake::accept(stream, settings, boot).await {
        // Sending fails only after the server has ended; the connection is then closed.
        Ok(connection) => drop(established.send(connection).await),
        Err(error) => log::info!(event = "greeting-failed", cause:% = error; ""),
    }
}
