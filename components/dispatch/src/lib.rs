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
pub use choice::{Candidate, choose};
pub use items::{Engine, Placed, Waiting, lost_its_version, place, text_left_ms};
pub use load::{InFlight, ReplicaLoad, Typical};
pub use moves::{MoveCause, Run, runs_to_move, stalled_ms};
pub use pace::{Pace, is_worth_moving, slowness};
pub use registry::{Registry, Replica, ReplicaId, Revision};
pub use retry::{AttemptEnd, CallEnd, NextStep, after_attempt};
pub use routes::{Limits, Route, RouteKind, Routes, Service, ServiceShare, WaitingRank};
