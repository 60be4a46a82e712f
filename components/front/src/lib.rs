//! The front process: takes clients' requests, runs steps, gives orders.
//!
//! Every front does the same, and none is special: which front runs a model's steps follows
//! from membership in a group, and which one gives orders to replicas from a lease. What
//! must last lies in the platform's store; a front that starts reads it again. Decisions are
//! in packages without I/O; this package carries them out.

mod access;
mod calls;
mod clock;
mod connections;
mod follow;
mod jobs;
mod leader;
mod leave;
mod member;
mod meter;
mod metrics;
mod partial;
mod peers;
mod reload;
mod reports;
mod results;
mod reward;
mod run_item;
mod runner;
mod serve;
mod start;
mod state;
mod storage;
mod store_calls;
mod stream;
mod writer;

pub use start::{Bound, FrontError, run};
