//! A site of real processes on loopback, with stand-ins for the outside systems, and the
//! driver of the fault matrix. Never shipped.

mod ask;
mod caller;
mod child;
mod error;
mod fault;
mod ports;
mod relay;
mod site;
mod status;
mod wait;

pub use ask::{Ask, Kind};
pub use caller::{Answer, Caller, Ending, Pending};
pub use child::Child;
pub use error::ProofError;
pub use fault::{Case, Fault, Repeat, Step, run_case, run_cases};
pub use ports::free_port;
pub use relay::{Relay, Way};
pub use site::{Process, Site, SiteSettings, office};
pub use status::{exchange, page, replicas};
pub use wait::{TRIES_MAX, until};
