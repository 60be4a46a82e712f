//! Which services the endpoint beside this agent hosts: a pure function of the accepted
//! texts and the agent's own settings. Every process that holds the same texts comes to
//! the same answer, so nobody needs to be asked.

use std::sync::Arc;

use config::{Service, ServiceKind, View};
use types::{CustomerName, PoolName, ServiceName};

use crate::engine_names::EngineNames;

/// What the settings say of an endpoint.
#[derive(Clone, Debug)]
pub struct HostingRules {
    /// Pool that the endpoint belongs to.
    pub pool: PoolName,
    /// What the endpoint is.
    pub kind: ServiceKind,
    /// Customers whose services it may host.
    pub customers: Vec<CustomerName>,
}

/// One hosted service.
#[derive(Clone, Debug)]
pub struct LocalService {
    /// The service.
    pub service: Arc<Service>,
    /// Name of its model at the engine.
    pub engine_model: String,
}

/// Services of one endpoint, in the order of owner and name.
#[derive(Clone, Debug, Default)]
pub struct Hosting {
    services: Vec<LocalService>,
    rejected: Vec<Arc<Service>>,
}

impl Hosting {
    /// The services that `view` puts on the rules's pool and that its endpoint may and can
    /// serve.
    ///
    /// A customer writes its own text and may name any pool there. Without the check of
    /// the owner its callers would reach another customer's endpoint with a token of their
    /// own. The rules's settings are what no customer's text can change.
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

    /// The service of this owner and name, if it is hosted here.
    pub fn find(&self, owner: &CustomerName, name: &ServiceName) -> Option<&LocalService> {
        let matches =
            |local: &&LocalService| local.service.owner == *owner && local.service.name == *name;
        self.services.iter().find(matches)
    }

    /// All hosted services.
    pub fn services(&self) -> &[LocalService] {
        &self.services
    }

    /// Services that a customer put on this pool without being let in to it.
    pub fn rejected(&self) -> &[Arc<Service>] {
        &self.rejected
    }
}
