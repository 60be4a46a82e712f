//! Names under which an agent addresses models at its engine.
//!
//! Two customers may give their models the same name. If an endpoint may host services of several
//! customers, a plain name would refer to the same model of the engine for both: one trainer would
//! switch the other's weights, and callers would be answered by another customer's model. The
//! owner's name as a prefix keeps the models apart.

use derive::key;
use types::{CustomerName, ServiceName};

/// Builds the engine's model names, prefixed by the owner if several customers may share it.
#[key]
pub struct EngineNames {
    with_owner: bool,
}

impl EngineNames {
    /// Naming for an endpoint that may host services of these customers. It depends on the settings
    /// alone and not on the accepted configuration: a name that changed with another customer's
    /// configuration would take the model out of service.
    pub fn for_customers(customers: &[CustomerName]) -> Self {
        Self {
            with_owner: customers.len() > 1,
        }
    }

    /// Name of a service's model at the engine.
    pub fn name(self, owner: &CustomerName, service: &ServiceName) -> String {
        if self.with_owner {
            format!("{owner}.{service}")
        } else {
            service.to_string()
        }
    }
}
