//! Callee side: takes connections and greets them, apart from the task that serves calls,
//! so that a peer that does not greet holds up nobody.

use std::sync::Arc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc};
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::sleep;

use crate::connection::Greeted;
use crate::{LinkSettings, greet};

/// Connections that may be in greeting at a time; more are closed at once.
const GREETING_MAX: usize = 256;
/// Greeted connections that wait for the server.
const GREETED_MAX: usize = 64;
/// Pause after the system could not give a connection (out of file descriptors, mostly),
/// so that the loop does not spin.
const PAUSE: Duration = Duration::from_millis(50);

/// The accepting task. Dropped, it stops.
pub(crate) struct Acceptor {
    pub greeted: mpsc::Receiver<Greeted>,
    task: AbortHandle,
}

impl Acceptor {
    pub fn start(listener: TcpListener, settings: LinkSettings, boot: u64) -> Self {
        let (greeted_in, greeted) = mpsc::channel(GREETED_MAX);
        let task = tokio::spawn(accept(listener, settings, boot, greeted_in));
        Self {
            greeted,
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
    greeted: mpsc::Sender<Greeted>,
) {
    let places = Arc::new(Semaphore::new(GREETING_MAX));
    let mut greetings = JoinSet::new();
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!(event = "accept-failed", cause:% = error; "");
                sleep(PAUSE).await;
                continue;
            }
        };
        while greetings.try_join_next().is_some() {}
        if let Ok(place) = places.clone().try_acquire_owned() {
            let (settings, greeted) = (settings.clone(), greeted.clone());
            greetings.spawn(async move {
                greet_one(stream, &settings, boot, &greeted).await;
                drop(place);
            });
        }
    }
}

async fn greet_one(
    stream: TcpStream,
    settings: &LinkSettings,
    boot: u64,
    greeted: &mpsc::Sender<Greeted>,
) {
    match greet::accept(stream, settings, boot).await {
        // The receiver goes with the server only.
        Ok(connection) => drop(greeted.send(connection).await),
        Err(error) => log::info!(event = "greeting-failed", cause:% = error; ""),
    }
}
