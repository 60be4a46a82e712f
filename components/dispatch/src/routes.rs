//! The configuration in force: routes, services and what clients may send.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

use customers::{Customer, Customers, Refusal, ShownKey};
use derive::{key, value};

/// What may be repeated on a route.
#[key]
pub enum RouteKind {
    /// Requests may run more than once.
    Idempotent,
    /// A request may run once at most.
    AtMostOnce,
    /// Answers are streams of events; they run once at most unless they may be resumed.
    Stream,
    /// Steps of a trainer; their items may run more than once.
    Rollout,
}

/// Rank of work that waits, the highest first.
#[key]
#[derive(Default)]
pub struct WaitingRank {
    /// Rank of its customer, 0 the highest.
    pub customer: u8,
    /// Rank of its route, 0 the highest.
    pub route: u8,
}

/// One service of a route and its share.
#[value]
pub struct ServiceShare {
    /// The service.
    pub service: Arc<str>,
    /// Its share against the other weights of the route.
    pub weight: u32,
}

/// A route.
#[value]
pub struct Route {
    /// Its name.
    pub name: Arc<str>,
    /// Host that requests name.
    pub host: Arc<str>,
    /// What the path begins with; begins and ends with a slash.
    pub prefix: Arc<str>,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Longest time for a request, in milliseconds.
    pub timeout_ms: u64,
    /// Replicas that one request may be sent to, at most.
    pub attempts_max: u32,
    /// Services with their shares.
    pub shares: Vec<ServiceShare>,
    /// Rank of its requests, 0 the highest; a customer's own goes before it.
    pub rank: Option<u8>,
    /// Whether it serves everybody, whatever key is shown.
    pub public: bool,
    /// Whether one version of the weights must make a whole text.
    pub single_version: bool,
    /// When the results of a step are due, in milliseconds after its submission.
    pub due_ms: u64,
    /// When an item may be given up, in milliseconds after its submission.
    pub retention_ms: u64,
}

impl Route {
    /// Rank of a customer's request.
    pub fn rank_for(&self, customer: Option<&Customer>) -> Option<u8> {
        customer.and_then(|customer| customer.rank).or(self.rank)
    }

    /// Rank of a customer's waiting work: the customer's own, then the route's between customers
    /// of one rank.
    pub fn waiting_rank(&self, customer: &Customer) -> WaitingRank {
        WaitingRank {
            customer: customer.rank.unwrap_or(u8::MAX),
            route: self.rank.unwrap_or(u8::MAX),
        }
    }

    /// The services that may serve it now.
    pub fn services(&self) -> impl Iterator<Item = &Arc<str>> {
        let used = self.shares.iter().filter(|share| share.weight > 0);
        used.map(|share| &share.service)
    }

    /// Names the replicas that may serve it: the same for all routes of the same services.
    pub fn pool_name(&self) -> String {
        let mut services: Vec<&str> = self.services().map(|service| &**service).collect();
        services.sort_unstable();
        services.join(",")
    }

    /// The service that these random bits draw by the weights.
    pub fn pick_service(&self, random: u64) -> Option<&Arc<str>> {
        let total: u64 = self
            .shares
            .iter()
            .map(|share| u64::from(share.weight))
            .sum();
        if total == 0 {
            return None;
        }
        let mut left = random % total;
        for share in &self.shares {
            let weight = u64::from(share.weight);
            if left < weight {
                return Some(&share.service);
            }
            left -= weight;
        }
        None
    }
}

/// A service.
#[value]
#[derive(Default)]
pub struct Service {
    /// Models that its replicas serve; empty for a plain service.
    pub models: Vec<Arc<str>>,
}

/// What clients may send.
#[value]
#[derive(Copy)]
pub struct Limits {
    /// Most bytes of a request's headers.
    pub header_bytes_max: usize,
    /// Most bytes of a request's body.
    pub body_bytes_max: usize,
    /// Longest idle time of a kept connection, in milliseconds.
    pub idle_timeout_ms: u64,
}

/// One version of the configuration.
#[value]
pub struct Routes {
    /// Its version; a higher one replaces a lower one.
    pub version: u64,
    /// By host, the longest prefix first.
    by_host: HashMap<Arc<str>, Vec<Arc<Route>>>,
    /// Pools of the routes of steps.
    step_pools: BTreeSet<String>,
    /// By name.
    pub services: HashMap<Arc<str>, Service>,
    /// What clients may send.
    pub limits: Limits,
    /// Customers and their keys.
    pub customers: Customers,
}

impl Routes {
    /// The customer of a request on a route; none where the route asks for no key and the one
    /// that is shown is nobody's.
    pub fn customer(
        &self,
        route: &Route,
        shown: ShownKey<'_>,
    ) -> Result<Option<Arc<Customer>>, Refusal> {
        match self.customers.holder(shown) {
            Ok(holder) => Ok(holder.cloned()),
            Err(_) if route.public => Ok(None),
            Err(refusal) => Err(refusal),
        }
    }

    /// Every route, by host and prefix.
    pub fn sorted(&self) -> Vec<&Route> {
        let mut routes: Vec<&Route> = self.by_host.values().flatten().map(Arc::as_ref).collect();
        routes.sort_by_key(|route| (&route.host, &route.prefix));
        routes
    }

    /// Puts a version together.
    pub fn new(
        version: u64,
        routes: Vec<Route>,
        services: HashMap<Arc<str>, Service>,
        limits: Limits,
        customers: Customers,
    ) -> Self {
        let steps = routes
            .iter()
            .filter(|route| route.kind == RouteKind::Rollout);
        let step_pools = steps.map(Route::pool_name).collect();
        let mut by_host: HashMap<Arc<str>, Vec<Arc<Route>>> = HashMap::new();
        for route in routes {
            by_host
                .entry(Arc::clone(&route.host))
                .or_default()
                .push(Arc::new(route));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        Self {
            version,
            by_host,
            step_pools,
            services,
            limits,
            customers,
        }
    }

    /// The route with the longest prefix of `path` at `host`.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.by_host.get(host)?;
        routes.iter().find(|route| path.starts_with(&*route.prefix))
    }

    /// The route with exactly this host and prefix.
    pub fn find_exact(&self, host: &str, prefix: &str) -> Option<&Arc<Route>> {
        let routes = self.by_host.get(host)?;
        routes.iter().find(|route| &*route.prefix == prefix)
    }

    /// Whether texts that a service makes for some route must not mix versions. Weights that
    /// change under such a text make it useless, so a load waits for it.
    pub fn requires_single_version(&self, service: &str) -> bool {
        let asks = |route: &&Arc<Route>| {
            let mut shares = route.shares.iter();
            route.single_version && shares.any(|share| &*share.service == service)
        };
        self.iter().any(|route| asks(&route))
    }

    /// Names of the pools of replicas that run items.
    pub fn step_pools(&self) -> impl Iterator<Item = &str> {
        self.step_pools.iter().map(String::as_str)
    }

    /// All routes.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.by_host.values().flatten()
    }
}
