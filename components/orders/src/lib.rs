//! Which model replica gets which version of the weights, and when.
//!
//! A step that waits for version k is asked once k is named and takes k - 1 as well. So each
//! replica needs every second version only: half of a model's replicas serve k - 1 while the
//! others load k. A load stops new items of its model at that replica for about a second,
//! and loads share one source; so replicas that are of no use load first, few at a time.
//! Replicas that will not be used for a model are left alone.

mod plan;

pub use plan::{Fleet, LoadOrder, Model, OrderSettings, Replica, SLOTS_PER_ITEM, plan_loads};
