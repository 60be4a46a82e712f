//! Where work goes: routes of the configuration, the replicas that may take work, the choice
//! of a replica for a call, and the placing of items on model replicas.
//!
//! No I/O, no clock and no random source: times and random bits come in as arguments.

mod admission;
mod choice;
mod fade;
mod items;
mod load;
mod moves;
mod pace;
mod registry;
mod retry;
mod routes;

pub use admission::Admission;
pub use choice::{Candidate, choose_replica};
pub use items::{Engine, Placement, WaitingItem, has_lost_version, place, text_left_ms};
pub use load::{InFlightCall, ReplicaLoad, TypicalDuration};
pub use moves::{MoveCause, Run, runs_to_move, stall_threshold_ms};
pub use pace::{EventInterval, is_worth_moving, slowness};
pub use registry::{Registry, RegistryChange, Replica, ReplicaId};
pub use retry::{AttemptOutcome, CallFailure, NextAction, next_action};
pub use routes::{Limits, Route, RouteKind, Routes, Service, ServiceShare, WaitingRank};
