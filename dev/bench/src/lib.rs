//! Development tools that run against the stand-ins: a visit that checks each kind of call of a
//! site, and measurements under load and faults. They are not shipped and listen only on the
//! loopback address.

pub mod arrivals;
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
pub mod requests;
pub mod site;
pub mod status;
pub mod table;
pub mod visit;
