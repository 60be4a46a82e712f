//! Accepts connections on the public address and serves their requests until the process stops.
//!
//! When the process stops, idle connections are closed, and connections with a request in progress
//! get their complete answer first. New connections are still accepted for a short time and their
//! requests are refused. Otherwise the kernel would reset connections that callers have just
//! opened, and the callers could not tell whether their requests ran.
//!
//! The number of connections is limited, and some descriptors are reserved for other uses. When
//! the limit is reached, idle connections are closed for new ones.

use std::sync::Arc;
use std::time::Duration;

use node::now_ms;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{Id, JoinError, JoinSet};
use tokio::time::{Instant, sleep, timeout};

use crate::connection::{self, PublicService, wait_for_stop};
use crate::connections::{Connection, Connections};
use crate::descriptors::{connections_max, raise_limit};

/// Delay after a failed accept, for example because no file descriptor was free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Interval at which idle connections are closed while the limit is reached.
const CAPACITY_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Accepting ends when no connection arrives for this time after the stop.
const QUIET_PERIOD: Duration = Duration::from_millis(50);
/// Maximum time for which connections are accepted after the stop.
const REFUSAL_PERIOD: Duration = Duration::from_secs(1);

/// Raises the descriptor limit and serves `listener` with `service` until `stop` becomes true.
/// Returns when all connections have ended.
pub async fn serve<S>(listener: TcpListener, service: S, stop: watch::Receiver<bool>)
where
    S: PublicService,
{
    let descriptors = raise_limit();
    let connections_max = connections_max(descriptors);
    log::info!(event = "connections-limit", connections_max, descriptors = descriptors.unwrap_or(0); "");
    serve_at_most(connections_max, listener, service, stop).await;
}

/// Same as [`serve`], with a given maximum number of connections.
pub async fn serve_at_most<S>(
    connections_max: usize,
    listener: TcpListener,
    service: S,
    stop: watch::Receiver<bool>,
) where
    S: PublicService,
{
    let mut tasks = JoinSet::new();
    let mut connections = Connections::new(connections_max);
    let mut stopping = stop.clone();
    let start = |tasks: &mut JoinSet<()>, connections: &mut Connections, stream| {
        let state = Connection::new();
        let served = connection::serve(stream, Arc::clone(&state), service.clone(), stop.clone());
        connections.add(tasks.spawn(served).id(), state);
    };
    loop {
        connections.close_idle(now_ms());
        let has_capacity = connections.has_capacity();
        tokio::select! {
            () = wait_for_stop(&mut stopping) => break,
            stream = accept(&listener), if has_capacity => start(&mut tasks, &mut connections, stream),
            Some(ended) = tasks.join_next_with_id() => connections.remove(task_id(&ended)),
            () = sleep(CAPACITY_CHECK_INTERVAL), if !has_capacity => {}
        }
    }
    let refuse_until = Instant::now() + REFUSAL_PERIOD;
    while Instant::now() < refuse_until && connections.has_capacity() {
        let Ok(stream) = timeout(QUIET_PERIOD, accept(&listener)).await else {
            break;
        };
        start(&mut tasks, &mut connections, stream);
    }
    drop(listener);
    while tasks.join_next().await.is_some() {}
}

fn task_id(ended: &Result<(Id, ()), JoinError>) -> Id {
    match ended {
        Ok((id, ())) => *id,
        Err(reason) => reason.id(),
    }
}

async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            Err(_) => sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}
