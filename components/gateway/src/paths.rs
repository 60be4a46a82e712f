//! Parses the paths of the public address and the names of services in requests.

use types::{CustomerName, ServiceName};

use crate::rejection::Rejection;

const COMPLETIONS: &str = "/v1/completions";
const SERVICES: &str = "/v1/services/";
const TRAINING: &str = "/v1/training/";

/// A service as named by a caller: `service`, or `owner.service` for a service of another customer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceTarget {
    /// Customer that owns the service; `None` for the caller's customer.
    pub owner: Option<CustomerName>,
    /// Name of the service.
    pub service: ServiceName,
}

impl ServiceTarget {
    /// Parses a name. An invalid name gives the same error as an unknown service.
    pub fn parse(text: &str) -> Result<Self, Rejection> {
        let unknown = || Rejection::UnknownService(shortened(text));
        let (owner, service) = match text.split_once('.') {
            Some((owner, service)) => (Some(owner), service),
            None => (None, text),
        };
        let owner = owner.map(CustomerName::new).transpose();
        Ok(Self {
            owner: owner.map_err(|_| unknown())?,
            service: ServiceName::new(service).map_err(|_| unknown())?,
        })
    }

    /// Returns the owner of the service when `customer` makes the request.
    pub fn owner_for<'a>(&'a self, customer: &'a CustomerName) -> &'a CustomerName {
        self.owner.as_ref().unwrap_or(customer)
    }
}

/// Maximum number of characters of an unknown name that are included in an answer.
const SHOWN_CHARACTERS_MAX: usize = 128;

fn shortened(text: &str) -> String {
    text.chars().take(SHOWN_CHARACTERS_MAX).collect()
}

/// Operation that a path selects.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Route {
    /// A completion.
    Completions,
    /// A call of a plain service with the path and query for its endpoint.
    Service(ServiceTarget, String),
    /// An operation on training steps or weights of a model.
    Training(ServiceName, TrainingRoute),
}

/// Operation that a path under `/v1/training/` selects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TrainingRoute {
    /// Announces a weight version, which becomes active.
    Weights,
    /// Announces that a weight version will become active soon, so that engines load it in advance.
    Prepare,
    /// Rolls back to older weights.
    Rollback,
    /// Posts a training step.
    Steps,
    /// Fetches samples of a training step.
    Fetch {
        /// Number of the step.
        step: u64,
    },
}

impl Route {
    /// Parses a path and its query.
    pub fn parse(path: &str, query: Option<&str>) -> Result<Self, Rejection> {
        if path == COMPLETIONS {
            return Ok(Route::Completions);
        }
        if let Some(rest) = path.strip_prefix(SERVICES) {
            return service_route(rest, query);
        }
        if let Some(rest) = path.strip_prefix(TRAINING) {
            return training_route(rest);
        }
        Err(Rejection::UnknownPath)
    }
}

fn service_route(rest: &str, query: Option<&str>) -> Result<Route, Rejection> {
    let (name, path) = rest.split_once('/').unwrap_or((rest, ""));
    let target = ServiceTarget::parse(name)?;
    let path = match query {
        Some(query) => format!("/{path}?{query}"),
        None => format!("/{path}"),
    };
    Ok(Route::Service(target, path))
}

fn training_route(rest: &str) -> Result<Route, Rejection> {
    let mut parts = rest.split('/');
    let name = parts.next().unwrap_or_default();
    let service = ServiceName::new(name).map_err(|_| Rejection::UnknownService(shortened(name)))?;
    let route = match (parts.next(), parts.next(), parts.next(), parts.next()) {
        (Some("weights"), None, None, None) => TrainingRoute::Weights,
        (Some("weights"), Some("prepare"), None, None) => TrainingRoute::Prepare,
        (Some("rollback"), None, None, None) => TrainingRoute::Rollback,
        (Some("steps"), None, None, None) => TrainingRoute::Steps,
        (Some("steps"), Some(step), Some("fetch"), None) => TrainingRoute::Fetch {
            step: step.parse().map_err(|_| Rejection::UnknownPath)?,
        },
        _ => return Err(Rejection::UnknownPath),
    };
    Ok(Route::Training(service, route))
}
