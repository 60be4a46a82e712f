//! Command line of the agent, validated before the agent does anything else.

use settings::{AgentSettings, SettingsError, agent_command};

/// Parses and validates the settings. For `--help`, `--version` and unknown flags, prints a text
/// and exits the process.
pub fn read_settings() -> Result<AgentSettings, SettingsError> {
    AgentSettings::from_matches(&agent_command().get_matches())
}
