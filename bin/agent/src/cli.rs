//! Command line of the agent: read and checked before anything else happens.

use settings::{AgentSettings, SettingsError, agent_command};

/// The checked settings. Ends the process itself for `--help`, `--version` and flags
/// that don't exist.
pub fn settings() -> Result<AgentSettings, SettingsError> {
    AgentSettings::from_matches(&agent_command().get_matches())
}
