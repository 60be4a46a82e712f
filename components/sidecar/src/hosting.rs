//! Computes the services that the endpoint beside this agent hosts: a pure function of the accepted
//! configuration and the agent's own settings. Processes with the same configuration compute the
//! same result, so no coordination is needed.

use std::sync::Arc;

use config::{Service, ServiceKind, View};
use types::{CustomerName, PoolName, ServiceName};

use crate::engine_names::EngineNames;

/// Rules from the agent's settings that decide which services its endpoint may host.
#[derive(Clone, Debug)]
pub struct HostingRules {
    /// Pool that the endpoint belongs to.
    pub pool: PoolName,
    /// Only services of this kind are hosted.
    pub kind: ServiceKind,
    /// Customers whose services the endpoint may host.
    pub customers: Vec<CustomerName>,
}

/// A service that the endpoint hosts.
#[derive(Clone, Debug)]
pub struct LocalService {
    /// The service in its owner's configuration.
    pub service: Arc<Service>,
    /// Name of the service's model at the engine; unused for a plain service.
    pub engine_model: String,
}

/// Services of one endpoint, ordered by owner and name.
#[derive(Clone, Debug, Default)]
pub struct Hosting {
    services: Vec<LocalService>,
    rejected: Vec<Arc<Service>>,
}

impl Hosting {
    /// Selects the services of `view` that belong to the pool of `rules`, have the endpoint's kind
    /// and are owned by a permitted customer.
    ///
    /// A customer may name any pool in its own configuration. Without the check of the owner, its
    /// callers would reach another customer's endpoint with a token of their own. The rules come
    /// from the agent's settings, which no customer's configuration can change.
    pub fn from_view(view: &View, rules: &HostingRules) -> Hosting {
        let placed = view.pool(&rules.pool).iter();
        let mut services: Vec<_> = placed
            .filter(|service| service.kind == rules.kind)
            .cloned()
            .collect();
        services.sort_by(|a, b| (&a.owner, &a.name).cmp(&(&b.owner, &b.name)));
        let engine_names = EngineNames::for_customers(&rules.customers);
        let is_allowed = |service: &Arc<Service>| rules.customers.contains(&service.owner);
        let (services, rejected): (Vec<_>, Vec<_>) = services.into_iter().partition(is_allowed);
        let local_service = |service: Arc<Service>| LocalService {
            engine_model: engine_names.name(&service.owner, &service.name),
            service,
        };
        Hosting {
            services: services.into_iter().map(local_service).collect(),
            rejected,
        }
    }

    /// Returns the hosted service of this owner and name.
    pub fn find(&self, owner: &CustomerName, name: &ServiceName) -> Option<&LocalService> {
        let matches =
            |local: &&LocalService| local.service.owner == *owner && local.service.name == *name;
        self.services.iter().find(matches)
    }

    /// All hosted services.
    pub fn services(&self) -> &[LocalService] {
        &self.services
    }

    /// Services whose owners name this pool in their configuration but may not use the endpoint.
    pub fn rejected(&self) -> &[Arc<Service>] {
        &self.rejected
    }
}
