//! Membership: one process's view of the other processes, built from the platform's VM list (which
//! lags behind), the answers to the process's own probes, and gossip.
//!
//! This crate does no I/O. Its inputs are events and `now_ms` of the process's monotonic clock; its
//! outputs are probes to send, gossip messages and immutable snapshots.

mod fact;
mod member;
mod members;
mod own_process;
mod probing;
mod rumour_settings;
mod rumours;
mod settings;
mod snapshot;
mod subset;
mod tail;
mod view;
mod vm_list;

pub use member::{Liveness, UpdateOutcome};
pub use members::Members;
pub use own_process::OwnProcess;
pub use rumour_settings::RumourSettings;
pub use rumours::{RumourRound, Rumours};
pub use settings::MemberSettings;
pub use snapshot::{MemberState, Replica, Snapshot};
pub use subset::{Candidate, choose_subset};
pub use tail::{Tail, TailAction, TailSettings, tailers};
pub use vm_list::{ListedVm, VmListOutcome};
