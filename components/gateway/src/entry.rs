//! Builds an entry from its settings and runs it until it has drained.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;

use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use link::LinkSettings;
use node::admin::{self, AdminHooks};
use node::leave::{self, DrainSignal};
use node::{NodeError, Sockets};
use protocol::ProcessRole;
use settings::EntrySettings;
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::error::EntryError;
use crate::gateway::Gateway;
use crate::readiness::Readiness;
use crate::start::{ProcessParts, start};
use crate::tuning::Tuning;
use crate::{inner, routes, server, status};

/// An entry with bound sockets that is not running yet.
pub struct Entry {
    settings: EntrySettings,
    tuning: Tuning,
    sockets: Sockets,
    public: TcpListener,
}

impl Entry {
    /// Binds the configured addresses; with port 0 the operating system chooses the ports. Errors
    /// when an address is in use or no key is configured.
    pub async fn bind(settings: EntrySettings, tuning: Tuning) -> Result<Entry, EntryError> {
        let sockets = Sockets::bind(&settings.common, ProcessRole::Entry).await?;
        let address = settings.listen;
        let public = TcpListener::bind(address).await;
        let public = public.map_err(|reason| NodeError::Listen(address, reason))?;
        Ok(Entry {
            settings,
            tuning,
            sockets,
            public,
        })
    }

    /// Returns the address for callers, trainers and operators.
    pub fn public_address(&self) -> Result<SocketAddr, NodeError> {
        self.public.local_addr().map_err(NodeError::Address)
    }

    /// Returns the address for other processes of the system.
    pub fn inner_address(&self) -> SocketAddr {
        self.sockets.identity.node().address
    }

    /// Returns the address of the admin server.
    pub fn admin_address(&self) -> Result<SocketAddr, NodeError> {
        self.sockets.admin_address()
    }

    /// Runs until the entry has drained. Draining starts when `stop` completes, an operator
    /// requests it or the platform announces it. Errors when the entry cannot start.
    pub async fn run(
        self,
        stop: impl Future<Output = ()> + Send + 'static,
    ) -> Result<(), EntryError> {
        let leaving = DrainSignal::new();
        leaving.trigger_on(stop);
        let Sockets {
            identity,
            inner,
            udp,
            admin,
            links,
        } = self.sockets;
        let parts = ProcessParts {
            identity,
            udp,
            links: links.clone(),
            leaving: leaving.clone(),
        };
        let gateway = start(&self.settings, self.tuning, parts)?;
        tokio::spawn(admin::serve(admin, admin_hooks(&gateway, &leaving)));
        log::info!(event = "entry-started", node:% = gateway.identity.node(); "");
        let (settled, on_settled) = watch::channel(false);
        let settle = async {
            leave::announce_and_settle(&gateway.drain, &gateway.gossip, &leaving).await;
            settled.send_replace(true);
            std::future::pending().await
        };
        let public = server::serve(self.public, routes::service(&gateway), on_settled.clone());
        let inner = serve_inner(&gateway, inner, links, on_settled);
        tokio::select! {
            _ = async { tokio::join!(public, inner) } => {}
            () = settle => {}
            () = leave::wait_for_drain_timeout(&gateway.drain, &leaving) => {}
        }
        log::info!(event = "entry-ended", node:% = gateway.identity.node(); "");
        Ok(())
    }
}

async fn serve_inner(
    gateway: &Arc<Gateway>,
    listener: TcpListener,
    links: LinkSettings,
    mut settled: watch::Receiver<bool>,
) {
    let gateway = Arc::clone(gateway);
    let handle = move |incoming| inner::handle_call(&gateway, incoming);
    let stop = async move {
        // The sender is dropped only when the process ends.
        let _ = settled.wait_for(|settled| *settled).await;
    };
    link::serve(listener, links, handle, stop).await;
}

fn admin_hooks(gateway: &Arc<Gateway>, leaving: &DrainSignal) -> AdminHooks {
    let ready_gateway = Arc::clone(gateway);
    let status_gateway = Arc::clone(gateway);
    let leaving = leaving.clone();
    AdminHooks {
        ready: Arc::new(move || ready_gateway.readiness() == Readiness::Ready),
        status: Arc::new(move || -> BoxFuture<'static, String> {
            status::json(Arc::clone(&status_gateway)).boxed()
        }),
        drain: Arc::new(move || leaving.trigger()),
    }
}
