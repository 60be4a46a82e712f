//! End-to-end tests: a site of real processes on loopback, with stand-ins for the external
//! systems, and the driver of the fault matrix. Not part of a release.

mod caller;
mod child;
mod error;
mod fault;
mod ports;
mod relay;
mod site;
mod status;
mod test_request;
mod wait;

pub use caller::{Answer, Caller, Ending, Pending};
pub use child::Child;
pub use error::ProofError;
pub use fault::{Case, Fault, Phase, Repeat, run_case, run_cases};
pub use ports::free_port;
pub use relay::{BreakMode, Relay};
pub use site::{Process, Site, SiteSettings, office_config};
pub use status::{active_replicas, exchange, status_page};
pub use test_request::{RequestKind, TestRequest};
pub use wait::{POLLS_MAX, wait_until};
