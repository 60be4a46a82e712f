//! Who is there: one process's view of the others, built from the platform's lagging VM
//! list, the answers to its own probes and rumours. Pure: events and `now_ms` of the
//! process's monotonic clock go in, probes, rumours and views come out.

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
