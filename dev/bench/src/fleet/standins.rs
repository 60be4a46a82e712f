//! The stand-ins of a fleet, in this process.

use std::net::{Ipv4Addr, SocketAddr};

use adapters::Vm;
use standins::Handle;
use standins::engine::{self, EngineSettings, Speeds};
use standins::log::{self, LogSettings};
use standins::scorer::{self, ScorerSettings};
use standins::service::{self, ServiceSettings};
use standins::store::{self, StoreSettings};
use standins::vms::{self, VmsSettings};

use super::FleetSettings;
use crate::error::BenchError;

/// What stands beside an agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EndpointKind {
    /// A model engine.
    Engine,
    /// A plain service or a scorer.
    Plain,
}

/// An endpoint and its pool.
pub(super) struct Endpoint {
    pub(super) kind: EndpointKind,
    pub(super) pool: &'static str,
    pub(super) address: SocketAddr,
}

/// Running stand-ins.
pub struct Standins {
    /// The log.
    pub log: Handle,
    /// The VM list.
    pub vms: Handle,
    /// The weight store.
    pub store: Handle,
    /// The engines.
    pub engines: Vec<Handle>,
    /// The plain services.
    pub services: Vec<Handle>,
    /// The scorers.
    pub scorers: Vec<Handle>,
    pools: [&'static str; 3],
}

impl Standins {
    pub(super) async fn start(
        settings: &FleetSettings,
        vms: Vec<Vm>,
    ) -> Result<Standins, BenchError> {
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let site = &settings.site;
        let log = log::start(LogSettings {
            append_ms: settings.append_ms,
            ..LogSettings::new(any)
        });
        let vms = vms::start(VmsSettings {
            vms,
            ..VmsSettings::new(any)
        });
        let (log, vms) = (log.await?, vms.await?);
        let store = store::start(StoreSettings::new(any)).await?;
        let mut standins = Standins {
            log,
            vms,
            store,
            engines: Vec::new(),
            services: Vec::new(),
            scorers: Vec::new(),
            pools: [site.model, site.desk, site.scorer],
        };
        for _ in 0..settings.engines {
            let engine = engine::start(EngineSettings {
                store: Some(standins.store.address),
                report_lag_ms: settings.report_lag_ms,
                speeds: Speeds {
                    scale_permille: settings.scale_permille,
                    ..Speeds::default()
                },
                ..EngineSettings::new(any, site.model)
            });
            standins.engines.push(engine.await?);
        }
        for _ in 0..settings.services {
            let service = service::start(ServiceSettings {
                service_ms: settings.service_ms,
                ..ServiceSettings::new(any, site.desk)
            });
            standins.services.push(service.await?);
        }
        for _ in 0..settings.scorers {
            let scorer = scorer::start(ScorerSettings::new(any));
            standins.scorers.push(scorer.await?);
        }
        Ok(standins)
    }

    /// The endpoints in the order of the agents.
    pub(super) fn endpoints(&self) -> Vec<Endpoint> {
        let [model, desk, scorer] = self.pools;
        let of = |handles: &[Handle], kind: EndpointKind, pool: &'static str| {
            let endpoint = move |handle: &Handle| Endpoint {
                kind,
                pool,
                address: handle.address,
            };
            handles.iter().map(endpoint).collect::<Vec<_>>()
        };
        let mut all = of(&self.engines, EndpointKind::Engine, model);
        all.extend(of(&self.services, EndpointKind::Plain, desk));
        all.extend(of(&self.scorers, EndpointKind::Plain, scorer));
        all
    }

    /// Addresses of the plain services, where runs are counted.
    pub fn service_addresses(&self) -> Vec<SocketAddr> {
        self.services.iter().map(|handle| handle.address).collect()
    }
}
