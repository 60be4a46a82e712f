//! Command line of the entry, validated before the entry does anything else.

use settings::{EntrySettings, SettingsError, entry_command};

/// Parses and validates the settings. For `--help`, `--version` and unknown flags, prints a text
/// and exits the process.
pub fn read_settings() -> Result<EntrySettings, SettingsError> {
    EntrySettings::from_matches(&entry_command().get_matches())
}
