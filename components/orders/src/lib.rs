//! Plans which model replica loads which version of the weights, and when.
//!
//! A step that requires version k is submitted once k has been named, and it also accepts version
//! k-1. Each replica therefore needs only every second version: half of a model's replicas serve
//! k-1 while the others load k. During a load a replica accepts no new items of the model for about
//! a second, and all loads share one source of weights. Loads therefore go to replicas without a
//! usable version first, a few at a time. Replicas that a model will not need do not load its
//! weights.

mod pending;
mod plan;

pub use pending::{OrderNumber, PendingOrder, PendingOrders};
pub use plan::{Fleet, LoadOrder, Model, OrderSettings, Replica, SLOTS_PER_ITEM, plan_loads};
