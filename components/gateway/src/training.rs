//! The training API: announcements of weights, steps, and samples with their provenance.
//!
//! An entry validates a trainer's call and forwards it to the step's home over the inner protocol.
//! At the home, the coordinator's task owns the ledgers of all steps. Runs, score requests and
//! copies are separate tasks that report to the coordinator.

mod api;
mod bodies;
mod cadence;
mod capacity;
mod commands;
mod coordinator;
mod coordinator_act;
mod coordinator_copies;
mod coordinator_fetch;
mod coordinator_task;
mod coordinator_tick;
mod copies;
mod ejected;
mod forward;
mod home_map;
mod inner;
mod metrics;
mod run;
mod run_recorder;
mod score;
mod step_status;
mod training_calls;

pub use api::serve;
pub use coordinator::Coordinator;
pub use coordinator_task::spawn_coordinator;
pub use copies::Copier;
pub use inner::{is_inner_call, serve_inner};
pub use step_status::StepStatus;
pub use training_calls::TrainingCalls;
