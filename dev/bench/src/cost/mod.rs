//! What the system costs: the path of a request, and the control plane as it grows.

pub mod fit;
pub mod path;
pub mod slopes;
mod usage;
