//! Startup and shutdown of the front process.

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
    connections, follow, leader, leave, member, meter, metrics, owner_watch, peer_relay, reload,
    replica_checks, reports, result_writer, runner, serve, suspects,
};

quick_error! {
    /// Why a front could not start.
    #[derive(Debug)]
    pub enum FrontError {
        /// Binding a listener to this address failed.
        Listen(address: SocketAddr, reason: std::io::Error) {
            source(reason)
            display("failed to listen on {}: {}", address, reason)
        }
        /// The metrics thread did not start.
        Metrics(reason: telemetry::MetricsError) {
            source(reason)
            from()
            display("failed to start the metrics: {}", reason)
        }
        /// Installing a signal handler failed.
        Signals(reason: std::io::Error) {
            source(reason)
            display("failed to install a signal handler: {}", reason)
        }
    }
}

/// A front whose listeners are bound, but which serves nothing until [`Bound::run`].
pub struct Bound {
    front: Arc<Front>,
    client_listener: TcpListener,
    readiness_listener: TcpListener,
}

impl Bound {
    /// Binds the listeners to the addresses in the settings.
    pub async fn new(settings: FrontSettings) -> Result<Self, FrontError> {
        let lease_settings = LeaseSettings::with_pause(settings.bounds.holder_pause_ms);
        // Two processes on the same VM must not use the same record numbers. The numbers therefore
        // start at the current time of a clock that never goes back on a VM.
        let lease = Lease::new(&settings.node, now_us(), lease_settings);
        let drain = Drain::new(leave::drain_settings(settings.bounds.grace_ms));
        let client_listener = listen(settings.client_address).await?;
        let readiness_listener = listen(settings.readiness_address).await?;
        let front = Arc::new(Front::new(settings, lease, drain, metrics::start()?));
        Ok(Self {
            front,
            client_listener,
            readiness_listener,
        })
    }

    /// Address that clients connect to, with the port that was bound if the settings ask for
    /// port 0.
    pub fn client_address(&self) -> Result<SocketAddr, FrontError> {
        local_address(&self.client_listener, self.front.settings.client_address)
    }

    /// Address of the load balancer's readiness probe and of the metrics page.
    pub fn readiness_address(&self) -> Result<SocketAddr, FrontError> {
        local_address(
            &self.readiness_listener,
            self.front.settings.readiness_address,
        )
    }

    /// Serves until `stop` completes, then drains the work in progress.
    pub async fn run(self, stop: impl Future<Output = ()>) {
        let Self {
            front,
            client_listener,
            readiness_listener,
        } = self;
        log::info!(
            event = "started", node = front.settings.node, domain = front.settings.domain,
            ip:% = front.settings.ip,
            clients:% = front.settings.client_address, store:% = front.settings.store.address,
            retention_ms = front.settings.store.retention_ms; ""
        );
        let (ended_items, results) = mpsc::channel(runner::ENDED_QUEUE_MAX);
        let mut tasks = JoinSet::new();
        tasks.spawn(connections::accept(
            Arc::clone(&front),
            readiness_listener,
            serve::serve_readiness,
        ));
        tasks.spawn(connections::accept(
            Arc::clone(&front),
            client_listener,
            serve::serve_client,
        ));
        tasks.spawn(follow::follow_operator(Arc::clone(&front)));
        tasks.spawn(follow::follow_replicas(Arc::clone(&front)));
        tasks.spawn(follow::follow_index(Arc::clone(&front)));
        tasks.spawn(member::maintain(Arc::clone(&front)));
        tasks.spawn(peer_relay::run(Arc::clone(&front)));
        tasks.spawn(owner_watch::run(Arc::clone(&front)));
        tasks.spawn(reports::follow_usage(Arc::clone(&front)));
        tasks.spawn(meter::sample_clock(Arc::clone(&front)));
        tasks.spawn(meter::write_counts(Arc::clone(&front)));
        tasks.spawn(suspects::write_reports(Arc::clone(&front)));
        tasks.spawn(replica_checks::run(Arc::clone(&front)));
        tasks.spawn(leader::lead(Arc::clone(&front)));
        tasks.spawn(result_writer::write_results(Arc::clone(&front), results));
        tasks.spawn(runner::run(Arc::clone(&front), ended_items));
        stop.await;
        leave::leave(&front).await;
    }
}

/// Runs a front until SIGTERM or SIGINT and the end of its drain, which further signals do not cut
/// short. `path` is the settings file, which is reloaded on changes and on SIGHUP.
pub async fn run(settings: FrontSettings, path: &Path) -> Result<(), FrontError> {
    let mut terminate = signal(SignalKind::terminate()).map_err(FrontError::Signals)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(FrontError::Signals)?;
    let hangup = signal(SignalKind::hangup()).map_err(FrontError::Signals)?;
    let bound = Bound::new(settings).await?;
    let front = Arc::clone(&bound.front);
    let stop = async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
    };
    tokio::select! {
        () = bound.run(stop) => Ok(()),
        () = reload::follow(front, path, hangup) => Ok(()),
    }
}

fn local_address(listener: &TcpListener, configured: SocketAddr) -> Result<SocketAddr, FrontError> {
    listener
        .local_addr()
        .map_err(|reason| FrontError::Listen(configured, reason))
}

async fn listen(address: SocketAddr) -> Result<TcpListener, FrontError> {
    TcpListener::bind(address)
        .await
        .map_err(|reason| FrontError::Listen(address, reason))
}
