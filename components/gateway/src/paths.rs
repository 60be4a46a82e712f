//! Paths of the public address, and names of services as callers write them.

use types::{CustomerName, ServiceName};

use crate::rejection::Rejection;

const COMPLETIONS: &str = "/v1/completions";
const SERVICES: &str = "/v1/services/";
const TRAINING: &str = "/v1/training/";

/// A service as a caller names it: `service`, or `owner.service` for another customer's.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceTarget {
    /// Customer that owns it; `None` for the caller's own.
    pub owner: Option<CustomerName>,
    /// The service.
    pub service: ServiceName,
}

impl ServiceTarget {
    /// Reads the name. A text that is no name names no service.
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

    /// The owner, where `customer` asks.
    pub fn owner_for<'a>(&'a self, customer: &'a CustomerName) -> &'a CustomerName {
        self.owner.as_ref().unwrap_or(customer)
    }
}

/// Longest part of an unknown name that goes into an answer, in characters.
const SHOWN_CHARACTERS_MAX: usize = 128;

fn shortened(text: &str) -> String {
    text.chars().take(SHOWN_CHARACTERS_MAX).collect()
}

/// What a path asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Route {
    /// A completion.
    Completions,
    /// A call of a plain service, with the path and query that it gets.
    Service(ServiceTarget, String),
    /// Something of a training step or its weights.
    Training(ServiceName, TrainingRoute),
}

/// What a path under `/v1/training/` asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TrainingRoute {
    /// Announces a weight version.
    Weights,
    /// Names a weight version that will be announced soon, so that engines load it now.
    Prepare,
    /// Goes back to older weights.
    Rollback,
    /// Posts a step.
    Steps,
    /// Fetches samples of a step.
    Fetch {
        /// Number of the step.
        step: u64,
    },
}

impl Route {
    /// Reads a path with its query.
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
