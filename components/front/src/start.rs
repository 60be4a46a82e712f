//! Start and end of a front.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;

use lease::{Lease, LeaseSettings};
use leaving::Drain;
use platform::settings::FrontSettings;
use quick_error::quick_error;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::mpsc;
use tokio::task::JoinSet;

use crate::clock::now_us;
use crate::state::Front;
use crate::{
    connections, follow, leader, leave, member, meter, metrics, reload, reports, runner, serve,
    writer,
};

quick_error! {
    /// Why a front can't run.
    #[derive(Debug)]
    pub enum FrontError {
        /// An address can't be listened on.
        Listen(address: SocketAddr, reason: std::io::Error) {
            source(reason)
            display("cannot listen on {}: {}", address, reason)
        }
        /// Metrics can't be kept.
        Metrics(reason: telemetry::MetricsError) {
            source(reason)
            from()
            display("cannot keep metrics: {}", reason)
        }
        /// Signals can't be heard.
        Signals(reason: std::io::Error) {
            source(reason)
            display("cannot hear signals: {}", reason)
        }
    }
}

/// A front that listens and does nothing yet.
pub struct Bound {
    front: Arc<Front>,
    clients: TcpListener,
    ready: TcpListener,
}

impl Bound {
    /// Listens on the addresses of the settings.
    pub async fn new(settings: FrontSettings) -> Result<Self, FrontError> {
        let lease_settings = LeaseSettings::with_pause(settings.bounds.holder_pause_ms);
        // No two lives of a VM may number their records alike; time does not go back on it.
        let lease = Lease::new(&settings.node, now_us(), lease_settings);
        let drain = Drain::new(leave::drain_settings(settings.bounds.grace_ms));
        let clients = listen(settings.clients).await?;
        let ready = listen(settings.ready).await?;
        let front = Arc::new(Front::new(settings, lease, drain, metrics::start()?));
        Ok(Self {
            front,
            clients,
            ready,
        })
    }

    /// Where clients connect.
    pub fn clients(&self) -> Result<SocketAddr, FrontError> {
        local(&self.clients, self.front.settings.clients)
    }

    /// Where the balancer asks.
    pub fn ready(&self) -> Result<SocketAddr, FrontError> {
        local(&self.ready, self.front.settings.ready)
    }

    /// Runs until `stop` and the end of the work in progress.
    pub async fn run(self, stop: impl Future<Output = ()>) {
        let Self {
            front,
            clients,
            ready,
        } = self;
        log::info!(
            event = "started", node = front.settings.node, domain = front.settings.domain,
            ip:% = front.settings.ip,
            clients:% = front.settings.clients, store:% = front.settings.store.address,
            retention_ms = front.settings.store.retention_ms; ""
        );
        let (ended, results) = mpsc::channel(runner::ENDED_MAX);
        let mut tasks = JoinSet::new();
        tasks.spawn(connections::accept(Arc::clone(&front), ready, serve::ready));
        tasks.spawn(connections::accept(
            Arc::clone(&front),
            clients,
            serve::client,
        ));
        tasks.spawn(follow::operator(Arc::clone(&front)));
        tasks.spawn(follow::replicas(Arc::clone(&front)));
        tasks.spawn(follow::index(Arc::clone(&front)));
        tasks.spawn(member::stay(Arc::clone(&front)));
        tasks.spawn(reports::follow_usage(Arc::clone(&front)));
        tasks.spawn(meter::keep_time(Arc::clone(&front)));
        tasks.spawn(meter::write_counts(Arc::clone(&front)));
        tasks.spawn(leader::lead(Arc::clone(&front)));
        tasks.spawn(writer::write_results(Arc::clone(&front), results));
        tasks.spawn(runner::run(Arc::clone(&front), ended));
        stop.await;
        leave::leave(&front).await;
    }
}

/// Runs a front until the stop signal and the end of its work. `path` is the file that the
/// settings came from; its changes are followed.
pub async fn run(settings: FrontSettings, path: &Path) -> Result<(), FrontError> {
    let mut stop = signal(SignalKind::terminate()).map_err(FrontError::Signals)?;
    let reload = signal(SignalKind::hangup()).map_err(FrontError::Signals)?;
    let bound = Bound::new(settings).await?;
    let front = Arc::clone(&bound.front);
    let stop = async move {
        stop.recv().await;
    };
    tokio::select! {
        () = bound.run(stop) => Ok(()),
        () = reload::follow(front, path, reload) => Ok(()),
    }
}

fn local(listener: &TcpListener, asked: SocketAddr) -> Result<SocketAddr, FrontError> {
    listener
        .local_addr()
        .map_err(|reason| FrontError::Listen(asked, reason))
}

async fn listen(address: SocketAddr) -> Result<TcpListener, FrontError> {
    TcpListener::bind(address)
        .await
        .map_err(|reason| FrontError::Listen(address, reason))
}
