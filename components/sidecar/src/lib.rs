//! The agent beside an endpoint: takes calls from entries and hands each to the endpoint
//! once, drives a model engine to the wanted weights, watches the endpoint's life, and
//! leaves without cutting off a call.

mod agent;
mod body;
mod calls;
mod completion;
mod engine_names;
mod gate;
mod health;
mod hosting;
mod orders;
mod relay;
mod stage;
mod start;
mod status;
mod vitals;
mod watch;
mod weights_task;

pub use agent::AgentLimits;
pub use body::name_call;
pub use completion::{Shape, StreamCheck, check_document};
pub use engine_names::EngineNames;
pub use gate::{place_of, time_left_ms};
pub use health::Look;
pub use hosting::{Hosting, Place, Site};
pub use stage::{Stage, failure_of};
pub use start::{Sidecar, Tuning};
pub use vitals::{Change, Sign, Vitals};
