//! Command line of the entry: read and checked before anything else happens.

use settings::{EntrySettings, SettingsError, entry_command};

/// The checked settings. Ends the process itself for `--help`, `--version` and flags
/// that don't exist.
pub fn settings() -> Result<EntrySettings, SettingsError> {
    EntrySettings::from_matches(&entry_command().get_matches())
}
