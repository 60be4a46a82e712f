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
mod health_check;
mod health_state;
mod hosting;
mod orders;
mod relay;
mod stage;
mod start;
mod status;
mod weights_task;

pub use agent::AgentLimits;
pub use body::set_model_and_call_id;
pub use completion::{AnswerFormat, StreamCheck, check_document};
pub use engine_names::EngineNames;
pub use gate::{find_service, time_left_ms};
pub use health::EndpointSnapshot;
pub use health_state::{CheckResult, HealthChange, HealthState};
pub use hosting::{Hosting, HostingRules, LocalService};
pub use stage::{Stage, failure_of};
pub use start::{Sidecar, Tuning};
