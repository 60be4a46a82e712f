//! Files of the operator: a configuration text, a token.

use std::path::Path;

use config::{Complaints, CustomerConfig, Ledger, check, parse};

use crate::ControlError;

/// A text that may be published, and what was let pass.
pub struct CheckedConfig {
    /// The file's text as it stands.
    pub source: String,
    /// The text after reading.
    pub config: CustomerConfig,
    /// Complaints that stop nothing.
    pub warnings: Complaints,
}

/// Reads and checks a file against the texts of the other customers. Errors when it
/// cannot be read or does not pass.
pub fn check_file(path: &Path, ledger: Option<&Ledger>) -> Result<CheckedConfig, ControlError> {
    check_source(read_file(path)?, &path.to_string_lossy(), ledger)
}

/// Checks a text that came from `file`. Errors when it does not pass.
pub fn check_source(
    source: String,
    file: &str,
    ledger: Option<&Ledger>,
) -> Result<CheckedConfig, ControlError> {
    let text = parse(&source, file).map_err(ControlError::InvalidText)?;
    let warnings = match ledger {
        Some(ledger) => check(&text, ledger),
        None => Complaints(text.warnings.clone()),
    };
    if warnings.has_errors() {
        return Err(ControlError::InvalidText(warnings));
    }
    Ok(CheckedConfig {
        source,
        config: text,
        warnings,
    })
}

/// Reads a token from a file of one line.
pub fn read_token(path: &Path) -> Result<String, ControlError> {
    let text = read_file(path)?;
    let token = text.trim();
    let printable = token.bytes().all(|byte| byte.is_ascii_graphic());
    if token.is_empty() || !printable {
        return Err(ControlError::InvalidToken(path.to_owned()));
    }
    Ok(token.to_owned())
}

fn read_file(path: &Path) -> Result<String, ControlError> {
    std::fs::read_to_string(path).map_err(|reason| ControlError::FileRead(path.to_owned(), reason))
}
