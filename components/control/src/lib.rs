//! What operators do from their own workstation: read the configuration from the log,
//! publish a text and follow it into force, look at processes, make them leave, roll a
//! model back.

mod error;
mod fleet;
mod history;
mod publish;
mod rollback;
mod text;

pub use error::{ControlError, ExitCode};
pub use fleet::{
    ConfigRow, EndpointRow, NodeStatus, StatusReply, drain, is_active, status, statuses,
};
pub use history::{History, HistoryEntry, read_history};
pub use publish::{PublishProgress, PublishSettings, Published, publish, wait_until_active};
pub use rollback::{Rollback, roll_back};
pub use text::{CheckedConfig, check_file, check_source, read_token};
