//! The accepted texts as immutable tables for the path of a request. A new view is
//! built when a text changes and swapped in as a whole.

use std::collections::HashMap;
use std::sync::Arc;

use derive::value;
use types::{Class, CustomerName, PoolName, Role, ServiceName};

use crate::dependencies::resolve_dependencies;
use crate::{
    CustomerConfig, Ledger, Limits, Service, ServiceRef, Token, TokenDigest, UnmetDependency,
};

/// Who holds a token.
#[value]
pub struct TokenHolder {
    /// The customer.
    pub customer: CustomerName,
    /// Name of the token, for logs.
    pub token: ServiceName,
    /// What he may do.
    pub role: Role,
    /// Services that the token is good for; `None` for all.
    pub services: Option<Arc<[ServiceRef]>>,
    /// Best class that he may claim, and the class of his calls that name none.
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

    /// The class of a call to a service: what the caller asks for, else the token's,
    /// else the service's; never a better one than the token's.
    pub fn class_of(&self, asked: Option<Class>, service: &Service) -> Class {
        let class = asked.or(self.class).unwrap_or(service.class);
        match self.class {
            Some(best) => class.max(best),
            None => class,
        }
    }

    fn covers(&self, owner: &CustomerName, service: &ServiceName) -> bool {
        let is = |target: &ServiceRef| target.owner == *owner && target.service == *service;
        match &self.services {
            Some(services) => services.iter().any(is),
            None => true,
        }
    }
}

/// One customer in a view.
#[derive(Clone, Debug)]
pub struct CustomerView {
    /// Its accepted version.
    pub version: u64,
    /// Its limits.
    pub limits: Limits,
    services: HashMap<ServiceName, ServiceView>,
}

#[derive(Clone, Debug)]
struct ServiceView {
    service: Arc<Service>,
    /// Other customers with a dependency in force.
    dependents: Vec<CustomerName>,
}

/// The accepted texts of all customers.
#[derive(Clone, Debug, Default)]
pub struct View {
    customers: HashMap<CustomerName, CustomerView>,
    holders: HashMap<TokenDigest, Vec<TokenHolder>>,
    pools: HashMap<PoolName, Vec<Arc<Service>>>,
    unmet: Vec<UnmetDependency>,
}

impl View {
    /// The view of what the ledger holds now.
    pub fn of(ledger: &Ledger) -> Self {
        let mut view = View::default();
        let mut texts: HashMap<&CustomerName, &CustomerConfig> = HashMap::new();
        for accepted in ledger.all() {
            view.add_customer(accepted.version, &accepted.config);
            texts.insert(&accepted.customer, &accepted.config);
        }
        let links = resolve_dependencies(&texts);
        for link in &links.active {
            view.add_dependent(link.customer, link.to);
        }
        view.unmet = links.unmet;
        view
    }

    fn add_customer(&mut self, version: u64, text: &CustomerConfig) {
        let services = text.services.iter().map(|service| {
            let entry = ServiceView {
                service: Arc::clone(service),
                dependents: Vec::new(),
            };
            (service.name.clone(), entry)
        });
        let customer = CustomerView {
            version,
            limits: text.limits,
            services: services.collect(),
        };
        self.customers.insert(text.customer.clone(), customer);
        for service in &text.services {
            let pool = self.pools.entry(service.pool.clone()).or_default();
            pool.push(Arc::clone(service));
        }
        for token in &text.tokens {
            let holders = self.holders.entry(token.digest).or_default();
            holders.push(TokenHolder::of(&text.customer, token));
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

    /// The holder of a bearer token.
    pub fn authenticate(&self, token: &str) -> Option<&TokenHolder> {
        match self.holders.get(&TokenDigest::of(token))?.as_slice() {
            [holder] => Some(holder),
            // A customer that gets to know the digest of another's token can write it
            // into its own text, and calls would be taken for its own or be refused.
            // A token that begins with its customer's name and a dot stays out of
            // this, as no other customer has that name.
            several => {
                let (customer, _) = token.split_once('.')?;
                several
                    .iter()
                    .find(|holder| holder.customer.as_str() == customer)
            }
        }
    }

    /// Names of tokens that more than one customer has, for the status.
    pub fn shared_tokens(&self) -> impl Iterator<Item = &TokenHolder> {
        let several = self.holders.values().filter(|holders| holders.len() > 1);
        several.flatten()
    }

    /// A customer.
    pub fn customer(&self, name: &CustomerName) -> Option<&CustomerView> {
        self.customers.get(name)
    }

    /// All customers, in no order.
    pub fn customers(&self) -> impl Iterator<Item = (&CustomerName, &CustomerView)> {
        self.customers.iter()
    }

    /// All services, in no order.
    pub fn services(&self) -> impl Iterator<Item = &Arc<Service>> {
        let entries = self
            .customers
            .values()
            .flat_map(|customer| customer.services.values());
        entries.map(|entry| &entry.service)
    }

    /// A service by its owner and name.
    pub fn service(&self, owner: &CustomerName, name: &ServiceName) -> Option<&Arc<Service>> {
        Some(&self.service_view(owner, name)?.service)
    }

    /// The services that endpoints of this pool host.
    pub fn pool(&self, pool: &PoolName) -> &[Arc<Service>] {
        self.pools.get(pool).map_or(&[], Vec::as_slice)
    }

    fn service_view(&self, owner: &CustomerName, name: &ServiceName) -> Option<&ServiceView> {
        self.customers.get(owner)?.services.get(name)
    }

    /// Whether the holder may call the service: a caller whose token is good for it and
    /// whose customer owns it or has a dependency on it in force.
    pub fn may_call(&self, holder: &TokenHolder, owner: &CustomerName, name: &ServiceName) -> bool {
        let Some(entry) = self.service_view(owner, name) else {
            return false;
        };
        let related = holder.customer == *owner || entry.dependents.contains(&holder.customer);
        holder.role == Role::Caller && related && holder.covers(owner, name)
    }

    /// Whether the holder may post steps for this model of his customer, fetch its
    /// samples and announce its weights.
    pub fn may_train(&self, holder: &TokenHolder, name: &ServiceName) -> bool {
        let model = self.service(&holder.customer, name);
        let model = model.is_some_and(|service| service.kind == crate::ServiceKind::Model);
        holder.role == Role::Trainer && model && holder.covers(&holder.customer, name)
    }

    /// Whether the holder may roll this service of his customer back, and the like.
    pub fn may_operate(&self, holder: &TokenHolder, name: &ServiceName) -> bool {
        let known = self.service_view(&holder.customer, name).is_some();
        holder.role == Role::Operator && known && holder.covers(&holder.customer, name)
    }

    /// Dependencies between customers that are not in force.
    pub fn unmet_dependencies(&self) -> &[UnmetDependency] {
        &self.unmet
    }
}
