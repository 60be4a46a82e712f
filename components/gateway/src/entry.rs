//! Puts an entry together from its settings and runs it until it has left.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;

use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use leaving::{Drain, DrainSettings};
use link::Links;
use node::admin::{self, AdminHooks};
use node::{
    ConfigFeed, FeedSettings, Gossip, GossipHooks, GossipSettings, NodeError, Pulse, Sockets,
};
use platform::{ClientSettings, LogClient, VmList};
use protocol::{News, ProcessRole};
use quarantine::{CallDigest, Condemned};
use routing::Locality;
use samples::CursorKeys;
use settings::{EntrySettings, SharedKey};
use telemetry::{Metrics, MetricsSettings};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use types::WeightVersion;
use weights::ModelKey;

use crate::error::EntryError;
use crate::gateway::Gateway;
use crate::keyed::{self, Claims};
use crate::leave::{self, Leaving};
use crate::services::Services;
use crate::suspects::Quarantine;
use crate::training::{Copier, Desk, DeskInbox, spawn};
use crate::weight_news::WeightNews;
use crate::{accounts::Accounts, inner, refresh, routes, server, status};

/// First part of the names of an entry's metrics.
const METRICS_PREFIX: &str = "hornbeamrock.entry";
/// Versions in force that wait to be told on.
const VERSIONS_MAX: usize = 256;

/// Times and bounds that are not among the flags; tests shorten them.
#[derive(Clone, Debug, Default)]
pub struct Tuning {
    /// Configuration.
    pub feed: FeedSettings,
    /// News over UDP.
    pub gossip: GossipSettings,
    /// Choice of replicas.
    pub routing: routing::Settings,
}

/// An entry that has its addresses and runs when told to.
pub struct Entry {
    settings: EntrySettings,
    tuning: Tuning,
    sockets: Sockets,
    public: TcpListener,
}

impl Entry {
    /// Takes the addresses of the settings; with port 0 the system chooses the ports.
    /// Errors when an address is taken or no key is set.
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

    /// Address for callers, trainers and operators.
    pub fn public_address(&self) -> Result<SocketAddr, NodeError> {
        let address = self.public.local_addr();
        address.map_err(|reason| NodeError::Listen(self.settings.listen, reason))
    }

    /// Address for the system's own processes.
    pub fn inner_address(&self) -> SocketAddr {
        self.sockets.identity.node().address
    }

    /// Address for operators.
    pub fn admin_address(&self) -> Result<SocketAddr, NodeError> {
        self.sockets.admin_address()
    }

    /// Runs until the entry has left, which begins when `stop` completes, an operator
    /// asks for it or the platform says so. Errors when it can't start.
    pub async fn run(
        self,
        stop: impl Future<Output = ()> + Send + 'static,
    ) -> Result<(), EntryError> {
        let leaving = Leaving::new();
        leaving.order_on(stop);
        let Entry {
            settings,
            tuning,
            sockets,
            public,
        } = self;
        let Sockets {
            identity,
            inner: inner_listener,
            udp,
            admin: admin_listener,
            links: link_settings,
        } = sockets;
        let links = Links::new(link_settings.clone());
        let log = LogClient::new(settings.common.log, &ClientSettings::default());
        let own = identity.node().address;
        let claims = Claims::start(&log, keyed::settings()?);
        let feed = ConfigFeed::start(own, log, links.clone(), tuning.feed);
        let (versions, in_force) = mpsc::channel(VERSIONS_MAX);
        let weights = WeightNews::start(versions);
        let (condemned, to_tell) = mpsc::unbounded_channel();
        let quarantine = Quarantine::start(condemned);
        let vm_list = VmList::new(settings.common.vm_list, &ClientSettings::default());
        let gossip = Gossip::start(
            udp,
            Arc::clone(&identity),
            vm_list,
            feed.clone(),
            tuning.gossip,
            gossip_hooks(&weights, &quarantine, &leaving),
        );
        let here = Locality {
            failure_domain: identity.failure_domain.clone(),
            region: identity.region.clone(),
        };
        let (training, desk) = Desk::new();
        let gateway = Arc::new(Gateway {
            identity,
            feed,
            gossip,
            services: Services::new(tuning.routing, here),
            accounts: Accounts::default(),
            quarantine,
            claims,
            weights,
            training,
            drain: Drain::new(drain_settings(&settings)),
            pulse: Pulse::start(),
            metrics: Metrics::start(&MetricsSettings {
                statsd: settings.common.metrics,
                prefix: METRICS_PREFIX.to_owned(),
            })?,
            links,
        });
        tokio::spawn(tell_condemned(Arc::clone(&gateway), to_tell));
        start_tasks(&gateway, desk, in_force, &settings);
        tokio::spawn(admin::serve(
            admin_listener,
            admin_hooks(&gateway, &leaving),
        ));
        log::info!(event = "entry-started", node = gateway.identity.node().to_string(); "");
        let handle = {
            let gateway = Arc::clone(&gateway);
            move |incoming| inner::take(&gateway, incoming)
        };
        let (settled, on_settled) = watch::channel(false);
        let ended = async {
            let inner_stop = leave::settled(on_settled.clone());
            let inner = link::serve(inner_listener, link_settings, handle, inner_stop);
            let public = server::serve(public, routes::service(&gateway), on_settled.clone());
            tokio::join!(inner, public);
        };
        tokio::select! {
            () = ended => {}
            () = leave::overtime(&gateway, &leaving) => {}
            () = leave::settle(&gateway, &leaving, &settled) => {}
        }
        log::info!(event = "entry-ended", node = gateway.identity.node().to_string(); "");
        Ok(())
    }
}

fn drain_settings(settings: &EntrySettings) -> DrainSettings {
    DrainSettings {
        settle_ms: settings.common.settle_ms,
        finish_ms_max: settings.common.drain_ms,
        ..DrainSettings::ENTRY
    }
}

fn start_tasks(
    gateway: &Arc<Gateway>,
    desk: DeskInbox,
    in_force: mpsc::Receiver<(ModelKey, WeightVersion)>,
    settings: &EntrySettings,
) {
    let copier = Copier::start(gateway.links.clone());
    spawn(
        desk,
        Arc::clone(gateway),
        copier,
        cursor_keys(&settings.common.keys),
    );
    tokio::spawn(tell_versions(Arc::clone(gateway), in_force));
    tokio::spawn(refresh::run(Arc::clone(gateway)));
}

/// Cursors are signed with the keys that all processes share, so that any entry reads
/// the cursor of any other.
fn cursor_keys(keys: &[SharedKey]) -> CursorKeys {
    let mut bytes = keys.iter().map(|key| key.0);
    let signs = bytes.next().unwrap_or_default();
    CursorKeys::new(signs, bytes.next())
}

/// Tells every version that comes in force to the other processes and to the ledgers.
async fn tell_versions(
    gateway: Arc<Gateway>,
    mut in_force: mpsc::Receiver<(ModelKey, WeightVersion)>,
) {
    while let Some((model, version)) = in_force.recv().await {
        gateway.gossip.tell(News::Weights {
            customer: model.customer.clone(),
            service: model.service.clone(),
            version,
        });
        gateway.training.announced(model, version).await;
    }
}

/// Tells every call that was condemned here to the other processes.
async fn tell_condemned(gateway: Arc<Gateway>, mut told: mpsc::UnboundedReceiver<Condemned>) {
    while let Some(condemned) = told.recv().await {
        gateway.gossip.tell(News::Quarantined {
            digest: condemned.digest.0,
            left_ms: condemned.left_ms,
        });
    }
}

fn gossip_hooks(weights: &WeightNews, quarantine: &Quarantine, leaving: &Leaving) -> GossipHooks {
    let weights = weights.clone();
    let quarantine = quarantine.clone();
    let leaving = leaving.clone();
    GossipHooks {
        heard: Arc::new(move |news| match news {
            News::Weights {
                customer,
                service,
                version,
            } => {
                let model = ModelKey {
                    customer: customer.clone(),
                    service: service.clone(),
                };
                weights.heard(model, *version);
            }
            News::Quarantined { digest, left_ms } => {
                quarantine.heard(CallDigest(*digest), *left_ms);
            }
            _ => {}
        }),
        leaving: Arc::new(move || leaving.order()),
        ..GossipHooks::default()
    }
}

fn admin_hooks(gateway: &Arc<Gateway>, leaving: &Leaving) -> AdminHooks {
    let ready = Arc::clone(gateway);
    let shown = Arc::clone(gateway);
    let leaving = leaving.clone();
    AdminHooks {
        ready: Arc::new(move || ready.is_ready()),
        status: Arc::new(move || -> BoxFuture<'static, String> {
            status::json(Arc::clone(&shown)).boxed()
        }),
        drain: Arc::new(move || leaving.order()),
    }
}
