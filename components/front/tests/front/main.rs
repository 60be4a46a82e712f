//! Fronts with an in-process stand-in of the store and of the replicas.

mod calls;
mod common;
mod customers;
mod orders;
mod queue;
mod shards;
mod steps;
mod trainer;
mod usage;
