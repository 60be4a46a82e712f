//! Which services the endpoint beside this agent hosts: a pure function of the accepted
//! texts and the agent's own pool. Every process that holds the same texts comes to the
//! same answer, so nobody needs to be asked.

use std::sync::Arc;

use config::{Kind, Service, View};
use types::{CustomerName, PoolName, ServiceName};

/// Services of one pool.
#[derive(Clone, Debug, Default)]
pub struct Hosting {
    services: Vec<Arc<Service>>,
}

impl Hosting {
    /// The services that `view` puts on `pool` and that an endpoint of this kind can
    /// serve, in the order of owner and name.
    pub fn of(view: &View, pool: &PoolName, kind: Kind) -> Hosting {
        let placed = view.pool(pool).iter();
        let mut services: Vec<_> = placed
            .filter(|service| service.kind == kind)
            .cloned()
            .collect();
        services.sort_by(|a, b| (&a.owner, &a.name).cmp(&(&b.owner, &b.name)));
        Hosting { services }
    }

    /// The service of this owner and name, if it is hosted here.
    pub fn find(&self, owner: &CustomerName, name: &ServiceName) -> Option<&Arc<Service>> {
        let mut services = self.services.iter();
        services.find(|service| service.owner == *owner && service.name == *name)
    }

    /// All of them.
    pub fn services(&self) -> &[Arc<Service>] {
        &self.services
    }
}
