//! Which services the endpoint beside this agent hosts: a pure function of the accepted
//! texts and the agent's own settings. Every process that holds the same texts comes to
//! the same answer, so nobody needs to be asked.

use std::sync::Arc;

use config::{Service, ServiceKind, View};
use types::{CustomerName, PoolName, ServiceName};

use crate::engine_names::EngineNames;

/// What the settings say of an endpoint.
#[derive(Clone, Debug)]
pub struct Site {
    /// Pool that the endpoint belongs to.
    pub pool: PoolName,
    /// What the endpoint is.
    pub kind: ServiceKind,
    /// Customers whose services it may host.
    pub customers: Vec<CustomerName>,
}

/// One hosted service.
#[derive(Clone, Debug)]
pub struct Place {
    /// The service.
    pub service: Arc<Service>,
    /// Name of its model at the engine.
    pub engine_model: String,
}

/// Services of one endpoint, in the order of owner and name.
#[derive(Clone, Debug, Default)]
pub struct Hosting {
    places: Vec<Place>,
    left_out: Vec<Arc<Service>>,
}

impl Hosting {
    /// The services that `view` puts on the site's pool and that its endpoint may and can
    /// serve.
    ///
    /// A customer writes its own text and may name any pool there. Without the check of
    /// the owner its callers would reach another customer's endpoint with a token of their
    /// own. The site's settings are what no customer's text can change.
    pub fn of(view: &View, site: &Site) -> Hosting {
        let placed = view.pool(&site.pool).iter();
        let mut services: Vec<_> = placed
            .filter(|service| service.kind == site.kind)
            .cloned()
            .collect();
        services.sort_by(|a, b| (&a.owner, &a.name).cmp(&(&b.owner, &b.name)));
        let names = EngineNames::of(&site.customers);
        let may_stay = |service: &Arc<Service>| site.customers.contains(&service.owner);
        let (services, left_out): (Vec<_>, Vec<_>) = services.into_iter().partition(may_stay);
        let place = |service: Arc<Service>| Place {
            engine_model: names.name(&service.owner, &service.name),
            service,
        };
        Hosting {
            places: services.into_iter().map(place).collect(),
            left_out,
        }
    }

    /// The service of this owner and name, if it is hosted here.
    pub fn find(&self, owner: &CustomerName, name: &ServiceName) -> Option<&Place> {
        let is_it = |place: &&Place| place.service.owner == *owner && place.service.name == *name;
        self.places.iter().find(is_it)
    }

    /// All hosted services.
    pub fn places(&self) -> &[Place] {
        &self.places
    }

    /// Services that a customer put on this pool without being let in to it.
    pub fn left_out(&self) -> &[Arc<Service>] {
        &self.left_out
    }
}
