//! A site of stand-ins in one process, on consecutive ports: log, VM list, weight store, scorer,
//! engines and plain services.

use std::net::SocketAddr;

use derive::value;

use crate::engine::{self, EngineSettings};
use crate::error::StandinError;
use crate::handle::Handle;
use crate::log::{self, LogSettings};
use crate::scorer::{self, ScorerSettings};
use crate::service::{self, ServiceSettings};
use crate::store::{self, StoreSettings};
use crate::vms::{self, VmsSettings};

/// Settings of a site.
#[value]
pub struct SiteSettings {
    /// Address of the log. The other stand-ins listen on the ports after it, in the order of
    /// [`Site::addresses`]. With port 0 the system chooses all ports.
    pub listen: SocketAddr,
    /// Engines to start; may be 0.
    pub engines: usize,
    /// Settings of each engine. The site replaces the address and the weight store.
    pub engine: EngineSettings,
    /// Plain services to start; may be 0.
    pub services: usize,
    /// Name that all plain services state in their answers.
    pub service: String,
    /// Time that each call of a plain service takes.
    pub service_ms: u64,
    /// Answers per second of the weight store; 0 means no limit.
    pub store_per_s: u64,
}

/// The stand-ins of a running site. Dropping the site stops them all.
pub struct Site {
    /// Log with the default retention.
    pub log: Handle,
    /// VM list, empty at the start.
    pub vms: Handle,
    /// Weight store of all engines.
    pub store: Handle,
    /// Scorer whose scores take no time.
    pub scorer: Handle,
    /// Engines in the order of their ports.
    pub engines: Vec<Handle>,
    /// Plain services in the order of their ports.
    pub services: Vec<Handle>,
}

/// Starts all stand-ins of a site.
pub async fn start(settings: SiteSettings) -> Result<Site, StandinError> {
    let mut next = settings.listen;
    let log = log::start(LogSettings::new(next_address(&mut next))).await?;
    let vms = vms::start(VmsSettings::new(next_address(&mut next))).await?;
    let store_settings = StoreSettings {
        per_s: settings.store_per_s,
        ..StoreSettings::new(next_address(&mut next))
    };
    let store = store::start(store_settings).await?;
    let scorer = scorer::start(ScorerSettings::new(next_address(&mut next))).await?;
    let mut engines = Vec::new();
    for _ in 0..settings.engines {
        let engine_settings = EngineSettings {
            listen: next_address(&mut next),
            store: Some(store.address),
            ..settings.engine.clone()
        };
        engines.push(engine::start(engine_settings).await?);
    }
    let mut services = Vec::new();
    for _ in 0..settings.services {
        let service_settings = ServiceSettings {
            service_ms: settings.service_ms,
            ..ServiceSettings::new(next_address(&mut next), settings.service.clone())
        };
        services.push(service::start(service_settings).await?);
    }
    Ok(Site {
        log,
        vms,
        store,
        scorer,
        engines,
        services,
    })
}

impl Site {
    /// Name and address of each stand-in, such as `log` or `engine.0`.
    pub fn addresses(&self) -> Vec<(String, SocketAddr)> {
        let single = [
            ("log", &self.log),
            ("vms", &self.vms),
            ("store", &self.store),
            ("scorer", &self.scorer),
        ];
        let single = single.map(|(name, handle)| (name.to_owned(), handle.address));
        let mut all = single.to_vec();
        all.extend(numbered_addresses("engine", &self.engines));
        all.extend(numbered_addresses("service", &self.services));
        all
    }
}

fn numbered_addresses(name: &str, handles: &[Handle]) -> Vec<(String, SocketAddr)> {
    let handles = handles.iter().enumerate();
    handles
        .map(|(number, handle)| (format!("{name}.{number}"), handle.address))
        .collect()
}

fn next_address(next: &mut SocketAddr) -> SocketAddr {
    let address = *next;
    if address.port() != 0 {
        next.set_port(address.port().wrapping_add(1));
    }
    address
}
