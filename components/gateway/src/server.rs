//! The public address: accepts connections and serves requests until the process leaves.
//!
//! A connection that is idle when the process stops is closed; one with a request in
//! progress gets its whole answer first. New connections are still taken for as long,
//! and their requests refused: one that a caller opened just before would otherwise be
//! reset in the kernel's queue, and the caller could not tell whether its request ran.
//!
//! There are only so many connections, and some descriptors are not for callers at all.
//! When all are taken, idle connections are closed for new ones.

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

/// Pause after an accept that failed, such as for want of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Between two looks for connections that can make room.
const CAPACITY_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Quiet time after which nobody is taken to come any more.
const QUIET_PERIOD: Duration = Duration::from_millis(50);
/// Longest time of taking connections only to refuse their requests.
const REFUSAL_PERIOD: Duration = Duration::from_secs(1);

/// Raises the limit of descriptors and serves `listener` with `service` until `stop` turns
/// true; returns once every connection has ended.
pub async fn serve<S>(listener: TcpListener, service: S, stop: watch::Receiver<bool>)
where
    S: PublicService,
{
    let descriptors = raise_limit();
    let connections_max = connections_max(descriptors);
    log::info!(event = "connections-limit", connections_max, descriptors = descriptors.unwrap_or(0); "");
    serve_at_most(connections_max, listener, service, stop).await;
}

/// As [`serve`], with at most so many connections at a time.
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
            Some(ended) = tasks.join_next_with_id() => connections.remove(id_of(&ended)),
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

fn id_of(ended: &Result<(Id, ()), JoinError>) -> Id {
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
