//! Resolves dependencies between customers.
//!
//! Each text is accepted independently of other customers, so that no customer can cause another's
//! publish to be refused. Whether a dependency on another customer's service is active follows from
//! the accepted texts of both and is computed again whenever one of them changes. It is active
//! while the service exists, is shared with the dependent customer and the dependency is not part
//! of a cycle. Calls over an inactive dependency are refused, but the dependent text stays
//! accepted; the dependency becomes active again without a new publish.

use std::collections::HashMap;

use derive::value;
use quick_error::quick_error;
use types::{CustomerName, ServiceName};

use crate::cycle::{self, Edges};
use crate::{CustomerConfig, Place, Service, ServiceRef};

quick_error! {
    /// Why a dependency on another customer's service is inactive.
    // `quick_error!` does not accept doc comments on fields; the field names and messages describe
    // them.
    #[allow(missing_docs)]
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum UnmetCause {
        /// The owner has no accepted text.
        NoCustomer {
            display("the customer has no accepted text")
        }
        /// The owner has no service of this name.
        NoService {
            display("the customer has no such service")
        }
        /// The owner does not list the dependent customer in `shared_with`.
        Private {
            display("the service is not shared with the customer")
        }
        /// The dependency is part of a cycle.
        Cycle { path: String } {
            display("the dependencies form a cycle: {}", path)
        }
    }
}

/// An inactive dependency.
#[value]
pub struct UnmetDependency {
    /// The dependent service.
    pub from: ServiceRef,
    /// The service of another customer that it depends on.
    pub to: ServiceRef,
    /// Position of the dependency in the dependent customer's text.
    pub place: Place,
    /// Why the dependency is inactive.
    pub cause: UnmetCause,
}

/// An active dependency of a customer on another customer's service.
pub(crate) struct ActiveDependency<'t> {
    pub(crate) customer: &'t CustomerName,
    pub(crate) to: &'t ServiceRef,
}

/// All dependencies between customers, active and inactive.
pub(crate) struct ResolvedDependencies<'t> {
    pub(crate) active: Vec<ActiveDependency<'t>>,
    pub(crate) unmet: Vec<UnmetDependency>,
}

struct Candidate<'t> {
    from: &'t Service,
    to: &'t ServiceRef,
    place: Place,
}

/// Resolves the dependencies between the customers with these configurations.
pub(crate) fn resolve_dependencies<'t>(
    configs: &HashMap<&'t CustomerName, &'t CustomerConfig>,
) -> ResolvedDependencies<'t> {
    let mut unmet = Vec::new();
    let mut candidates = Vec::new();
    for from in configs.values().flat_map(|config| &config.services) {
        for edge in from
            .depends_on
            .iter()
            .filter(|edge| edge.target.owner != from.owner)
        {
            let candidate = Candidate {
                from,
                to: &edge.target,
                place: edge.place,
            };
            match unmet_cause(configs, &candidate) {
                Some(cause) => unmet.push(candidate.unmet(cause)),
                None => candidates.push(candidate),
            }
        }
    }
    let mut in_force = Vec::new();
    let graph = Graph::of(configs, &candidates);
    for candidate in candidates {
        match graph.cycle(&candidate) {
            Some(path) => unmet.push(candidate.unmet(UnmetCause::Cycle { path })),
            None => in_force.push(ActiveDependency {
                customer: &candidate.from.owner,
                to: candidate.to,
            }),
        }
    }
    unmet.sort_by(|a, b| (&a.from, &a.to).cmp(&(&b.from, &b.to)));
    ResolvedDependencies {
        active: in_force,
        unmet,
    }
}

impl Candidate<'_> {
    fn unmet(&self, cause: UnmetCause) -> UnmetDependency {
        UnmetDependency {
            from: self.from.target(),
            to: self.to.clone(),
            place: self.place,
            cause,
        }
    }
}

fn unmet_cause(
    configs: &HashMap<&CustomerName, &CustomerConfig>,
    candidate: &Candidate<'_>,
) -> Option<UnmetCause> {
    let Some(config) = configs.get(&candidate.to.owner) else {
        return Some(UnmetCause::NoCustomer);
    };
    let Some(service) = config.service(&candidate.to.service) else {
        return Some(UnmetCause::NoService);
    };
    let is_shared = service.shared_with.contains(&candidate.from.owner);
    (!is_shared).then_some(UnmetCause::Private)
}

/// Dependency graph of the services of all customers: the dependencies within each customer and the
/// candidates between customers.
struct Graph<'t> {
    nodes: HashMap<(&'t CustomerName, &'t ServiceName), usize>,
    services: Vec<&'t Service>,
    edges: Edges,
    components: Vec<usize>,
}

impl<'t> Graph<'t> {
    fn of(
        configs: &HashMap<&'t CustomerName, &'t CustomerConfig>,
        candidates: &[Candidate<'t>],
    ) -> Self {
        if candidates.is_empty() {
            return Graph {
                nodes: HashMap::new(),
                services: Vec::new(),
                edges: Edges::new(),
                components: Vec::new(),
            };
        }
        let services = configs.values().flat_map(|config| &config.services);
        let services: Vec<&Service> = services.map(|service| service.as_ref()).collect();
        let numbered = services.iter().enumerate();
        let nodes = numbered.map(|(number, service)| ((&service.owner, &service.name), number));
        let mut graph = Graph {
            nodes: nodes.collect(),
            edges: vec![Vec::new(); services.len()],
            components: Vec::new(),
            services,
        };
        graph.connect(candidates);
        graph.components = cycle::components(&graph.edges);
        graph
    }

    fn connect(&mut self, candidates: &[Candidate<'t>]) {
        for from in 0..self.services.len() {
            let service = self.services[from];
            let own_dependencies = service
                .depends_on
                .iter()
                .filter(|edge| edge.target.owner == service.owner);
            let to = own_dependencies
                .filter_map(|edge| self.node_of(&edge.target))
                .collect();
            self.edges[from] = to;
        }
        for candidate in candidates {
            let from = self.node_of(&candidate.from.target());
            if let (Some(from), Some(to)) = (from, self.node_of(candidate.to)) {
                self.edges[from].push(to);
            }
        }
    }

    fn node_of(&self, target: &ServiceRef) -> Option<usize> {
        self.nodes.get(&(&target.owner, &target.service)).copied()
    }

    /// The cycle that the candidate is part of, as text.
    fn cycle(&self, candidate: &Candidate<'_>) -> Option<String> {
        let from = self.node_of(&candidate.from.target())?;
        let to = self.node_of(candidate.to)?;
        if self.components[from] != self.components[to] {
            return None;
        }
        let back = cycle::shortest_path(&self.edges, to, from)?;
        let nodes = std::iter::once(from).chain(back);
        let names: Vec<String> = nodes
            .map(|number| self.services[number].target().to_string())
            .collect();
        Some(names.join(" -> "))
    }
}
