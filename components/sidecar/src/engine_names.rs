//! Names of models towards an engine.
//!
//! Two customers may call their models the same. Where an endpoint may host services of
//! several customers, a plain name would let the orders and the calls of both meet at one
//! model of the engine: one trainer would switch the other's weights, and a caller would
//! be answered by a model of another customer. The owner in the name keeps them apart.

use derive::key;
use types::{CustomerName, ServiceName};

/// How an agent names models to its engine.
#[key]
pub struct EngineNames {
    with_owner: bool,
}

impl EngineNames {
    /// Names for an endpoint that may host services of these customers. They depend on the
    /// settings alone, never on which texts are accepted just now: a name that changed with
    /// another customer's text would take the model out of service.
    pub fn for_customers(customers: &[CustomerName]) -> Self {
        Self {
            with_owner: customers.len() > 1,
        }
    }

    /// Name of a service's model.
    pub fn name(self, owner: &CustomerName, service: &ServiceName) -> String {
        if self.with_owner {
            format!("{owner}.{service}")
        } else {
            service.to_string()
        }
    }
}
