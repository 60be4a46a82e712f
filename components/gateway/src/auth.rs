//! Authenticates requests by their bearer token, using the active configuration.

use std::sync::Arc;

use config::{Service, TokenHolder, View};
use http::HeaderMap;
use http::header::AUTHORIZATION;
use types::{CustomerName, Role, ServiceName};

use crate::paths::ServiceTarget;
use crate::rejection::Rejection;

const SCHEME: &str = "bearer";
/// Maximum length of a token in bytes. Longer tokens are rejected before they are hashed.
const TOKEN_BYTES_MAX: usize = 512;

/// An authenticated token holder with the configuration that identified it. Stored as a request
/// extension, so that a request sees only one version of the configuration.
#[derive(Clone)]
pub struct Session {
    /// Configuration that was active when the request arrived.
    pub view: Arc<View>,
    /// Customer, role and permitted services of the token.
    pub holder: TokenHolder,
    /// Whether the view has the texts of all customers.
    pub is_complete: bool,
}

/// Returns the session of the request's bearer token. Errors when the token is missing, given
/// several times or not configured. `is_complete` says whether `view` has the texts of all
/// customers: callers take a refusal as final, so an incomplete view refuses nobody.
pub fn authenticate(
    view: Arc<View>,
    is_complete: bool,
    headers: &HeaderMap,
) -> Result<Session, Rejection> {
    let token = bearer_token(headers).ok_or(Rejection::Unauthenticated)?;
    let unknown = || match is_complete {
        true => Rejection::Unauthenticated,
        false => Rejection::ConfigurationUnread,
    };
    let holder = view.authenticate(token).cloned().ok_or_else(unknown)?;
    Ok(Session {
        view,
        holder,
        is_complete,
    })
}

fn bearer_token(headers: &HeaderMap) -> Option<&str> {
    let mut values = headers.get_all(AUTHORIZATION).iter();
    let value = values.next()?.to_str().ok()?;
    if values.next().is_some() {
        return None;
    }
    let (scheme, token) = value.split_once(' ')?;
    let fits = (1..=TOKEN_BYTES_MAX).contains(&token.len());
    (scheme.eq_ignore_ascii_case(SCHEME) && fits).then_some(token)
}

impl Session {
    /// Returns the requested service if the token holder may call it.
    ///
    /// A missing service of another customer and one that is not shared give the same error, so
    /// that callers cannot find out which services other customers have.
    pub fn callable(&self, target: &ServiceTarget) -> Result<Arc<Service>, Rejection> {
        let holder = &self.holder;
        let owner = target.owner_for(&holder.customer);
        if self.view.may_call(holder, owner, &target.service) {
            return self.find_service(owner, &target.service);
        }
        if *owner == holder.customer {
            self.find_service(owner, &target.service)?;
            self.require_role(Role::Caller)?;
        }
        if !self.is_complete && *owner != holder.customer {
            return Err(Rejection::ConfigurationUnread);
        }
        Err(Rejection::NotAllowed(owner.clone(), target.service.clone()))
    }

    /// Returns the token holder's own model if the holder may train it.
    pub fn trainable(&self, name: &ServiceName) -> Result<Arc<Service>, Rejection> {
        let service = self.find_service(&self.holder.customer, name)?;
        self.require_role(Role::Trainer)?;
        if self.view.may_train(&self.holder, name) {
            return Ok(service);
        }
        Err(self.not_allowed(name))
    }

    /// Returns the token holder's own service if the holder may operate it.
    pub fn operable(&self, name: &ServiceName) -> Result<Arc<Service>, Rejection> {
        let service = self.find_service(&self.holder.customer, name)?;
        self.require_role(Role::Operator)?;
        if self.view.may_operate(&self.holder, name) {
            return Ok(service);
        }
        Err(self.not_allowed(name))
    }

    fn find_service(
        &self,
        owner: &CustomerName,
        name: &ServiceName,
    ) -> Result<Arc<Service>, Rejection> {
        let service = self.view.service(owner, name).cloned();
        service.ok_or_else(|| Rejection::UnknownService(name.to_string()))
    }

    fn require_role(&self, role: Role) -> Result<(), Rejection> {
        if self.holder.role == role {
            return Ok(());
        }
        Err(Rejection::Role(role))
    }

    fn not_allowed(&self, name: &ServiceName) -> Rejection {
        Rejection::NotAllowed(self.holder.customer.clone(), name.clone())
    }
}
