//! The cost of the system: latency and processor time per request, and memory and processor time of
//! the idle processes by the size of the fleet.

pub mod fit;
pub mod path;
pub mod slopes;
mod usage;
