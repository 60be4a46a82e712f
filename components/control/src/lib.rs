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
pub use fleet::{ConfigRow, EndpointRow, NodeStatus, Reply, drain, is_in_force, status, statuses};
pub use history::{Entry, History, read_history};
pub use publish::{Progress, PublishSettings, Published, publish, wait_in_force};
pub use rollback::{Rollback, roll_back};
pub use text::{Checked, check_file, check_source, read_token};
