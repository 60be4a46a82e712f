//! The stand-ins of a fleet, which run in this process.

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

/// Kind of endpoint behind an agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EndpointKind {
    /// A model engine.
    Engine,
    /// A plain service or a scorer.
    Plain,
}

/// An endpoint and the pool that its agent joins.
pub(super) struct Endpoint {
    pub(super) kind: EndpointKind,
    pub(super) pool: &'static str,
    pub(super) address: SocketAddr,
}

/// The running stand-ins; they stop on drop.
pub struct Standins {
    /// Stand-in of the shared log.
    pub log: Handle,
    /// Stand-in of the platform's VM list.
    pub vms: Handle,
    /// Stand-in of the weight store, from which the engines load.
    pub store: Handle,
    /// Model engines.
    pub engines: Vec<Handle>,
    /// Replicas of the plain service.
    pub services: Vec<Handle>,
    /// Scorers of training samples.
    pub scorers: Vec<Handle>,
    pools: [&'static str; 3],
}

impl Standins {
    pub(super) async fn start(
        settings: &FleetSettings,
        vms: Vec<Vm>,
    ) -> Result<Standins, BenchError> {
        let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let site = &settings.site;
        let log = log::start(LogSettings {
            append_ms: settings.append_ms,
            ..LogSettings::new(any_port)
        });
        let vms = vms::start(VmsSettings {
            vms,
            ..VmsSettings::new(any_port)
        });
        let (log, vms) = (log.await?, vms.await?);
        let store = store::start(StoreSettings::new(any_port)).await?;
        let mut standins = Standins {
            log,
            vms,
            store,
            engines: Vec::new(),
            services: Vec::new(),
            scorers: Vec::new(),
            pools: [site.model, site.plain_service, site.scorer],
        };
        for _ in 0..settings.engines {
            let engine = engine::start(EngineSettings {
                store: Some(standins.store.address),
                report_lag_ms: settings.report_lag_ms,
                speeds: Speeds {
                    scale_permille: settings.scale_permille,
                    ..Speeds::default()
                },
                ..EngineSettings::new(any_port, site.model)
            });
            standins.engines.push(engine.await?);
        }
        for _ in 0..settings.services {
            let service = service::start(ServiceSettings {
                service_ms: settings.service_ms,
                ..ServiceSettings::new(any_port, site.plain_service)
            });
            standins.services.push(service.await?);
        }
        for _ in 0..settings.scorers {
            let scorer = scorer::start(ScorerSettings::new(any_port));
            standins.scorers.push(scorer.await?);
        }
        Ok(standins)
    }

    /// All endpoints, in the order of the agents.
    pub(super) fn endpoints(&self) -> Vec<Endpoint> {
        let [model, plain_service, scorer] = self.pools;
        let endpoints_of = |handles: &[Handle], kind: EndpointKind, pool: &'static str| {
            let endpoint = move |handle: &Handle| Endpoint {
                kind,
                pool,
                address: handle.address,
            };
            handles.iter().map(endpoint).collect::<Vec<_>>()
        };
        let mut all = endpoints_of(&self.engines, EndpointKind::Engine, model);
        all.extend(endpoints_of(
            &self.services,
            EndpointKind::Plain,
            plain_service,
        ));
        all.extend(endpoints_of(&self.scorers, EndpointKind::Plain, scorer));
        all
    }

    /// Addresses of the plain services, which count the runs of each call.
    pub fn service_addresses(&self) -> Vec<SocketAddr> {
        self.services.iter().map(|handle| handle.address).collect()
    }
}
