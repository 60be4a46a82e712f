//! Settings of the programs, given by flags or environment variables. All of them are validated
//! before a process does anything else.

mod agent;
mod ceilings;
mod check;
mod common;
mod entry;
mod error;
mod keys;

pub use agent::{AgentSettings, EndpointKind, Fencing, agent_command};
pub use ceilings::Ceilings;
pub use check::{address, addresses, choice, milliseconds, optional_text, required_text};
pub use common::{CommonSettings, ENV_PREFIX, flag, name, optional_name};
pub use entry::{EntrySettings, entry_command};
pub use error::{EXIT_SETTINGS, SettingsError};
pub use keys::{KEY_BYTES, KEYS_MAX, SharedKey, parse_keys, read_keys};
