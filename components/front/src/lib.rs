//! The front process: serves clients' requests, runs the items of training steps and orders
//! model replicas to load weights.
//!
//! All fronts run the same code. Membership in a group of the platform's store decides which
//! front runs which shard of a step, and a lease decides which front gives orders to replicas.
//! All durable state is in the platform's store; a front that starts reads it from there.
//! Decisions are made in crates without I/O (`dispatch`, `orders`, `lease`, `ownership`, ...);
//! this crate performs the I/O for them.

mod access;
mod answer_lengths;
mod answers;
mod call_queue;
mod call_replica;
mod calls;
mod client_io;
mod clock;
mod connections;
mod follow;
mod held;
mod held_body;
mod jobs;
mod leader;
mod leave;
mod member;
mod meter;
mod metrics;
mod owner_watch;
mod partial;
mod peer_relay;
mod peers;
mod reload;
mod replica_checks;
mod replica_pace;
mod reports;
mod result_writer;
mod results;
mod reward;
mod run_item;
mod runner;
mod serve;
mod shard_knowledge;
mod silence;
mod start;
mod state;
mod storage;
mod store_calls;
mod stream;
mod suspects;
mod writer;

pub use start::{Bound, FrontError, run};
