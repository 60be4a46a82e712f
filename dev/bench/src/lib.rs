//! Development tools over the stand-ins: a visit that shows what a site does, and
//! measurements under load and faults. Never shipped; stays on loopback.

pub mod arrivals;
pub mod ask;
pub mod caller;
pub mod cost;
pub mod entry;
pub mod error;
pub mod fleet;
pub mod latencies;
pub mod lines;
pub mod load;
pub mod ports;
pub mod proc;
pub mod reply;
pub mod site;
pub mod status;
pub mod table;
pub mod visit;
