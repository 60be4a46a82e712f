//! Start and end of a front.

use std::net::SocketAddr;
use std::sync::Arc;

use lease::{Lease, LeaseSettings};
use leaving::Drain;
use platform::settings::FrontSettings;
use quick_error::quick_error;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::mpsc;

use crate::clock::now_us;
use crate::state::Front;
use crate::{connections, follow, leader, leave, member, runner, serve, writer};

quick_error! {
    /// Why a front can't run.
    #[derive(Debug)]
    pub enum FrontError {
        /// An address can't be listened on.
        Listen(address: SocketAddr, reason: std::io::Error) {
            source(reason)
            display("cannot listen on {}: {}", address, reason)
        }
        /// Signals can't be heard.
        Signals(reason: std::io::Error) {
            source(reason)
            display("cannot hear signals: {}", reason)
        }
    }
}

/// Runs a front until the stop signal and the end of its work.
pub async fn run(settings: FrontSettings) -> Result<(), FrontError> {
    let lease_settings = LeaseSettings::with_pause(settings.bounds.holder_pause_ms);
    // No two lives of a VM may number their records alike; time does not go back on it.
    let lease = Lease::new(&settings.node, now_us(), lease_settings);
    let drain = Drain::new(leave::drain_settings(settings.bounds.grace_ms));
    let clients = listen(settings.clients).await?;
    let ready = listen(settings.ready).await?;
    let mut stop = signal(SignalKind::terminate()).map_err(FrontError::Signals)?;
    log::info!(
        event = "started", node = settings.node, domain = settings.domain,
        clients:% = settings.clients, store:% = settings.store.address,
        retention_ms = settings.store.retention_ms; ""
    );
    let front = Arc::new(Front::new(settings, lease, drain));
    let (ended, results) = mpsc::channel(runner::ENDED_MAX);
    tokio::spawn(connections::accept(Arc::clone(&front), ready, serve::ready));
    tokio::spawn(connections::accept(
        Arc::clone(&front),
        clients,
        serve::client,
    ));
    tokio::spawn(follow::operator(Arc::clone(&front)));
    tokio::spawn(follow::replicas(Arc::clone(&front)));
    tokio::spawn(follow::index(Arc::clone(&front)));
    tokio::spawn(member::stay(Arc::clone(&front)));
    tokio::spawn(leader::lead(Arc::clone(&front)));
    tokio::spawn(writer::write_results(Arc::clone(&front), results));
    tokio::spawn(runner::run(Arc::clone(&front), ended));
    stop.recv().await;
    leave::leave(&front).await;
    Ok(())
}

async fn listen(address: SocketAddr) -> Result<TcpListener, FrontError> {
    TcpListener::bind(address)
        .await
        .map_err(|reason| FrontError::Listen(address, reason))
}
