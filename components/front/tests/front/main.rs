//! Fronts with a store and replicas of ours, in one process.

mod calls;
mod common;
mod customers;
mod orders;
mod shards;
mod steps;
mod trainer;
mod usage;
