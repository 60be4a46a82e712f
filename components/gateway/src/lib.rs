//! The entry of hornbeamrock: takes requests behind the platform's balancer and sends
//! each to an endpoint; keeps training steps for their trainers.

mod accounts;
mod admission;
mod answer;
mod attempt;
mod auth;
mod body;
mod calls;
mod completion;
mod completion_stream;
mod completions;
mod endpoint_life;
mod entry;
mod error;
mod exchange;
mod gateway;
mod headers;
mod idempotency;
mod inner;
mod intake;
mod job;
mod keyed;
mod layers;
mod news;
mod problem;
mod reach;
mod refresh;
mod rejection;
mod routes;
mod server;
mod services;
mod start;
mod status;
mod suspects;
mod target;
mod trace;
mod training;
mod weight_news;

pub use entry::{Entry, Tuning};
pub use error::EntryError;
