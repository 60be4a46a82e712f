//! Dependencies between customers.
//!
//! A text is accepted on its own, so that no customer can make another's publish be
//! refused. Whether a dependency on another customer's service is in force follows from
//! the accepted texts of both, each time one of them changes: it is in force while the
//! service exists, is shared with the dependent customer and lies on no cycle. When it
//! stops to be, calls over it are refused and the dependent text stays accepted; when
//! it is again, the dependency comes back without a new publish.

use std::collections::HashMap;

use derive::value;
use quick_error::quick_error;
use types::{CustomerName, ServiceName};

use crate::cycle::{self, Edges};
use crate::{CustomerConfig, Place, Service, ServiceRef};

quick_error! {
    /// Why a dependency on another customer's service is not in force.
    // `quick_error!` takes no doc comments on fields; their names and the texts say it.
    #[allow(missing_docs)]
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum UnmetCause {
        /// No such customer.
        NoCustomer {
            display("the customer has no accepted text")
        }
        /// No such service.
        NoService {
            display("the customer has no such service")
        }
        /// Its owner does not list the dependent customer.
        Private {
            display("the service is not shared with the customer")
        }
        /// It lies on a cycle.
        Cycle { path: String } {
            display("the dependencies form a cycle: {}", path)
        }
    }
}

/// A dependency that is not in force.
#[value]
pub struct UnmetDependency {
    /// The service that depends.
    pub from: ServiceRef,
    /// The other customer's service.
    pub to: ServiceRef,
    /// Where the dependent text says so.
    pub place: Place,
    /// Why it is not in force.
    pub cause: UnmetCause,
}

/// A dependency that is in force.
pub(crate) struct ActiveDependency<'t> {
    pub(crate) customer: &'t CustomerName,
    pub(crate) to: &'t ServiceRef,
}

/// All dependencies between customers.
pub(crate) struct ResolvedDependencies<'t> {
    pub(crate) active: Vec<ActiveDependency<'t>>,
    pub(crate) unmet: Vec<UnmetDependency>,
}

struct Candidate<'t> {
    from: &'t Service,
    to: &'t ServiceRef,
    place: Place,
}

/// Works out the dependencies between the customers with these texts.
pub(crate) fn resolve_dependencies<'t>(
    texts: &HashMap<&'t CustomerName, &'t CustomerConfig>,
) -> ResolvedDependencies<'t> {
    let mut unmet = Vec::new();
    let mut candidates = Vec::new();
    for from in texts.values().flat_map(|text| &text.services) {
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
            match unmet_cause(texts, &candidate) {
                Some(cause) => unmet.push(candidate.unmet(cause)),
                None => candidates.push(candidate),
            }
        }
    }
    let mut in_force = Vec::new();
    let graph = Graph::of(texts, &candidates);
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
    texts: &HashMap<&CustomerName, &CustomerConfig>,
    candidate: &Candidate<'_>,
) -> Option<UnmetCause> {
    let Some(text) = texts.get(&candidate.to.owner) else {
        return Some(UnmetCause::NoCustomer);
    };
    let Some(service) = text.service(&candidate.to.service) else {
        return Some(UnmetCause::NoService);
    };
    let shared = service.shared_with.contains(&candidate.from.owner);
    (!shared).then_some(UnmetCause::Private)
}

/// The services of all customers with own dependencies and candidates.
struct Graph<'t> {
    numbers: HashMap<(&'t CustomerName, &'t ServiceName), usize>,
    services: Vec<&'t Service>,
    edges: Edges,
    components: Vec<usize>,
}

impl<'t> Graph<'t> {
    fn of(
        texts: &HashMap<&'t CustomerName, &'t CustomerConfig>,
        candidates: &[Candidate<'t>],
    ) -> Self {
        if candidates.is_empty() {
            return Graph {
                numbers: HashMap::new(),
                services: Vec::new(),
                edges: Edges::new(),
                components: Vec::new(),
            };
        }
        let services = texts.values().flat_map(|text| &text.services);
        let services: Vec<&Service> = services.map(|service| service.as_ref()).collect();
        let names = services.iter().enumerate();
        let numbers = names.map(|(number, service)| ((&service.owner, &service.name), number));
        let mut graph = Graph {
            numbers: numbers.collect(),
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
            let own = service
                .depends_on
                .iter()
                .filter(|edge| edge.target.owner == service.owner);
            let to = own.filter_map(|edge| self.node_of(&edge.target)).collect();
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
        self.numbers.get(&(&target.owner, &target.service)).copied()
    }

    /// The cycle that the candidate lies on, spelled out.
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
