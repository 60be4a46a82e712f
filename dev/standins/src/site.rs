//! A whole site of stand-ins in one process, on consecutive ports.

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
    /// Address of the log; the others follow on the next ports. Port 0 takes free ones.
    pub listen: SocketAddr,
    /// Number of engines.
    pub engines: usize,
    /// What each engine is like; its address and store are the site's.
    pub engine: EngineSettings,
    /// Number of plain services.
    pub services: usize,
    /// Name of the plain services.
    pub service: String,
    /// Time that one call of a plain service takes.
    pub service_ms: u64,
    /// Answers a second of the weight store; 0 sets no limit.
    pub store_per_s: u64,
}

/// A running site.
pub struct Site {
    /// The log.
    pub log: Handle,
    /// The VM list.
    pub vms: Handle,
    /// The weight store.
    pub store: Handle,
    /// The scorer.
    pub scorer: Handle,
    /// The engines.
    pub engines: Vec<Handle>,
    /// The plain services.
    pub services: Vec<Handle>,
}

/// Starts a site.
pub async fn start(settings: SiteSettings) -> Result<Site, StandinError> {
    let mut next = settings.listen;
    let log = log::start(LogSettings::new(take(&mut next))).await?;
    let vms = vms::start(VmsSettings::new(take(&mut next))).await?;
    let store_settings = StoreSettings {
        per_s: settings.store_per_s,
        ..StoreSettings::new(take(&mut next))
    };
    let store = store::start(store_settings).await?;
    let scorer = scorer::start(ScorerSettings::new(take(&mut next))).await?;
    let mut engines = Vec::new();
    for _ in 0..settings.engines {
        let engine_settings = EngineSettings {
            listen: take(&mut next),
            store: Some(store.address),
            ..settings.engine.clone()
        };
        engines.push(engine::start(engine_settings).await?);
    }
    let mut services = Vec::new();
    for _ in 0..settings.services {
        let service_settings = ServiceSettings {
            service_ms: settings.service_ms,
            ..ServiceSettings::new(take(&mut next), settings.service.clone())
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
    /// Name and address of each stand-in.
    pub fn addresses(&self) -> Vec<(String, SocketAddr)> {
        let single = [
            ("log", &self.log),
            ("vms", &self.vms),
            ("store", &self.store),
            ("scorer", &self.scorer),
        ];
        let single = single.map(|(name, handle)| (name.to_owned(), handle.address));
        let mut all = single.to_vec();
        all.extend(numbered("engine", &self.engines));
        all.extend(numbered("service", &self.services));
        all
    }
}

fn numbered(name: &str, handles: &[Handle]) -> Vec<(String, SocketAddr)> {
    let handles = handles.iter().enumerate();
    handles
        .map(|(number, handle)| (format!("{name}.{number}"), handle.address))
        .collect()
}

fn take(next: &mut SocketAddr) -> SocketAddr {
    let address = *next;
    if address.port() != 0 {
        next.set_port(address.port().wrapping_add(1));
    }
    address
}
