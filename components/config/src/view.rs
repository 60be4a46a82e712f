//! Immutable look-up tables of the accepted configurations for the request path. A new view is
//! built whenever a configuration changes and replaces the old one as a whole.

use std::collections::HashMap;
use std::sync::Arc;

use derive::value;
use types::{Class, CustomerName, PoolName, Role, ServiceName};

use crate::dependencies::resolve_dependencies;
use crate::{
    CustomerConfig, Ledger, Limits, Service, ServiceRef, Token, TokenDigest, UnmetDependency,
};

/// The identity and permissions that a bearer token grants.
#[value]
pub struct TokenHolder {
    /// Customer that the token belongs to.
    pub customer: CustomerName,
    /// Name of the token, for logs.
    pub token: ServiceName,
    /// Role that the token grants.
    pub role: Role,
    /// Services that the token is valid for; `None` for all.
    pub services: Option<Arc<[ServiceRef]>>,
    /// Best class that requests may use, and the class of requests that do not state one.
    pub class: Option<Class>,
}

impl TokenHolder {
    fn of(customer: &CustomerName, token: &Token) -> Self {
        Self {
            customer: customer.clone(),
            token: token.name.clone(),
            role: token.role,
            services: token.services.as_deref().map(Arc::from),
            class: token.class,
        }
    }

    /// Class of a call to a service: the requested one, else the token's, else the service's, but
    /// never better than the token's.
    pub fn class_of(&self, requested: Option<Class>, service: &Service) -> Class {
        let class = requested.or(self.class).unwrap_or(service.class);
        match self.class {
            Some(best_class) => class.max(best_class),
            None => class,
        }
    }

    fn covers(&self, owner: &CustomerName, service: &ServiceName) -> bool {
        let matches = |target: &ServiceRef| target.owner == *owner && target.service == *service;
        match &self.services {
            Some(services) => services.iter().any(matches),
            None => true,
        }
    }
}

/// A customer's entry in a view.
#[derive(Clone, Debug)]
pub struct CustomerView {
    /// Number of the customer's accepted version.
    pub version: u64,
    /// Limits from that version.
    pub limits: Limits,
    services: HashMap<ServiceName, ServiceView>,
}

#[derive(Clone, Debug)]
struct ServiceView {
    service: Arc<Service>,
    /// Other customers with an active dependency on the service.
    dependents: Vec<CustomerName>,
}

/// The accepted configurations of all customers, indexed by name, token digest and pool.
#[derive(Clone, Debug, Default)]
pub struct View {
    customers: HashMap<CustomerName, CustomerView>,
    holders: HashMap<TokenDigest, Vec<TokenHolder>>,
    pools: HashMap<PoolName, Vec<Arc<Service>>>,
    unmet: Vec<UnmetDependency>,
}

impl View {
    /// Builds the view of the ledger's current versions.
    pub fn of(ledger: &Ledger) -> Self {
        let mut view = View::default();
        let mut configs: HashMap<&CustomerName, &CustomerConfig> = HashMap::new();
        for accepted in ledger.all() {
            view.add_customer(accepted.version, &accepted.config);
            configs.insert(&accepted.customer, &accepted.config);
        }
        let dependencies = resolve_dependencies(&configs);
        for dependency in &dependencies.active {
            view.add_dependent(dependency.customer, dependency.to);
        }
        view.unmet = dependencies.unmet;
        view
    }

    fn add_customer(&mut self, version: u64, config: &CustomerConfig) {
        let services = config.services.iter().map(|service| {
            let entry = ServiceView {
                service: Arc::clone(service),
                dependents: Vec::new(),
            };
            (service.name.clone(), entry)
        });
        let customer = CustomerView {
            version,
            limits: config.limits,
            services: services.collect(),
        };
        self.customers.insert(config.customer.clone(), customer);
        for service in &config.services {
            let pool = self.pools.entry(service.pool.clone()).or_default();
            pool.push(Arc::clone(service));
        }
        for token in &config.tokens {
            let holders = self.holders.entry(token.digest).or_default();
            holders.push(TokenHolder::of(&config.customer, token));
        }
    }

    fn add_dependent(&mut self, customer: &CustomerName, to: &ServiceRef) {
        let owner = self.customers.get_mut(&to.owner);
        let service = owner.and_then(|owner| owner.services.get_mut(&to.service));
        let Some(service) = service else { return };
        if !service.dependents.contains(customer) {
            service.dependents.push(customer.clone());
        }
    }

    /// Returns the holder of a bearer token, or `None` for an unknown or ambiguous token.
    pub fn authenticate(&self, token: &str) -> Option<&TokenHolder> {
        match self.holders.get(&TokenDigest::of(token))?.as_slice() {
            [holder] => Some(holder),
            // A customer that learns the digest of another's token could put it into its own text,
            // and calls with the token would be attributed to it or refused. A token that begins
            // with its customer's name and a dot is not affected, because no other customer has
            // that name.
            holders => {
                let (customer, _) = token.split_once('.')?;
                holders
                    .iter()
                    .find(|holder| holder.customer.as_str() == customer)
            }
        }
    }

    /// Tokens whose digest occurs more than once, for the status page.
    pub fn shared_tokens(&self) -> impl Iterator<Item = &TokenHolder> {
        let holders = self.holders.values().filter(|holders| holders.len() > 1);
        holders.flatten()
    }

    /// The entry of a customer.
    pub fn customer(&self, name: &CustomerName) -> Option<&CustomerView> {
        self.customers.get(name)
    }

    /// All customers, in arbitrary order.
    pub fn customers(&self) -> impl Iterator<Item = (&CustomerName, &CustomerView)> {
        self.customers.iter()
    }

    /// The services of all customers, in arbitrary order.
    pub fn services(&self) -> impl Iterator<Item = &Arc<Service>> {
        let entries = self
            .customers
            .values()
            .flat_map(|customer| customer.services.values());
        entries.map(|entry| &entry.service)
    }

    /// Looks up a service by owner and name.
    pub fn service(&self, owner: &CustomerName, name: &ServiceName) -> Option<&Arc<Service>> {
        Some(&self.service_view(owner, name)?.service)
    }

    /// Services hosted by the endpoints of this pool.
    pub fn pool(&self, pool: &PoolName) -> &[Arc<Service>] {
        self.pools.get(pool).map_or(&[], Vec::as_slice)
    }

    fn service_view(&self, owner: &CustomerName, name: &ServiceName) -> Option<&ServiceView> {
        self.customers.get(owner)?.services.get(name)
    }

    /// Whether the holder may call the service: it must have the caller role, the token must be
    /// valid for the service, and the holder's customer must own the service or have an active
    /// dependency on it.
    pub fn may_call(&self, holder: &TokenHolder, owner: &CustomerName, name: &ServiceName) -> bool {
        let Some(entry) = self.service_view(owner, name) else {
            return false;
        };
        let may_depend = holder.customer == *owner || entry.dependents.contains(&holder.customer);
        holder.role == Role::Caller && may_depend && holder.covers(owner, name)
    }

    /// Whether the holder may submit training steps for this model of its own customer, fetch its
    /// samples and announce its weights.
    pub fn may_train(&self, holder: &TokenHolder, name: &ServiceName) -> bool {
        let model = self.service(&holder.customer, name);
        let is_model = model.is_some_and(|service| service.kind == crate::ServiceKind::Model);
        holder.role == Role::Trainer && is_model && holder.covers(&holder.customer, name)
    }

    /// Whether the holder may operate this service of its own customer, for example roll it back.
    pub fn may_operate(&self, holder: &TokenHolder, name: &ServiceName) -> bool {
        let exists = self.service_view(&holder.customer, name).is_some();
        holder.role == Role::Operator && exists && holder.covers(&holder.customer, name)
    }

    /// Inactive dependencies between customers.
    pub fn unmet_dependencies(&self) -> &[UnmetDependency] {
        &self.unmet
    }
}
