//! Development tools over the stand-ins: a visit that shows what a site does, and
//! measurements under load and faults. Never shipped; stays on loopback.

pub mod ask;
pub mod caller;
pub mod error;
pub mod latencies;
pub mod lines;
pub mod ports;
pub mod reply;
pub mod site;
pub mod status;
pub mod table;
pub mod visit;
