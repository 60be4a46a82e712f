//! Selects where work runs: the configured routes, the replicas that accept work, the selection of
//! a replica for a call, and the placement of items on model replicas.
//!
//! The crate does no I/O and reads no clock or random source; callers pass times and random bits as
//! arguments.

mod admission;
mod choice;
mod decay;
mod event_interval;
mod items;
mod load;
mod moves;
mod registry;
mod retry;
mod routes;

pub use admission::Admission;
pub use choice::{Candidate, choose_replica};
pub use event_interval::{EventInterval, is_worth_moving, slowness};
pub use items::{Engine, Placement, WaitingItem, has_lost_version, place, text_left_ms};
pub use load::{InFlightCall, ReplicaLoad, TypicalDuration};
pub use moves::{MoveCause, Run, runs_to_move, stall_threshold_ms};
pub use registry::{Registry, RegistryChange, Replica, ReplicaId, most_report_start};
pub use retry::{AttemptOutcome, CallFailure, NextAction, next_action};
pub use routes::{Limits, Route, RouteKind, Routes, Service, ServiceShare, WaitingRank};
