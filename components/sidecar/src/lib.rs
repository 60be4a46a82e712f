//! The agent beside an endpoint: receives calls from entries and sends each to the endpoint at
//! most once, brings a model engine to the announced weights, detects crashes of the endpoint, and
//! drains its calls before it leaves.

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
