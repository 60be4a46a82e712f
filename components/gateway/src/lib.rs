//! The entry of hornbeamrock: takes requests behind the platform's balancer and sends
//! each to an endpoint; keeps training steps for their trainers.

mod accounts;
mod admission;
mod answer;
mod attempt;
pub mod auth;
pub mod body;
pub mod body_budget;
mod calls;
pub mod completion;
mod completion_stream;
mod completions;
mod drained;
mod endpoint_life;
mod entry;
mod error;
mod exchange;
mod gateway;
pub mod headers;
pub mod idempotency;
mod incoming;
mod inner;
mod intake;
mod job;
mod keyed;
mod layers;
mod news;
mod peer;
pub mod problem;
mod reach;
pub mod readiness;
mod refresh;
pub mod rejection;
mod resumed;
mod routes;
mod server;
mod services;
mod start;
mod status;
mod suspects;
pub mod target;
mod trace;
mod training;
mod weight_news;

pub use entry::{Entry, Tuning};
pub use error::EntryError;
