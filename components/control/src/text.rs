//! Reads the operator's files: configuration texts and tokens.

use std::path::Path;

use config::{Complaints, CustomerConfig, Ledger, check, parse};

use crate::ControlError;

/// A text that passed the check.
pub struct CheckedConfig {
    /// The unmodified text of the file.
    pub source: String,
    /// The configuration parsed from `source`.
    pub config: CustomerConfig,
    /// Complaints that do not prevent the publish.
    pub warnings: Complaints,
}

/// Reads a file and checks it against the configurations of the other customers. Fails if the file
/// cannot be read or its text is refused.
pub fn check_file(path: &Path, ledger: Option<&Ledger>) -> Result<CheckedConfig, ControlError> {
    check_source(read_file(path)?, &path.to_string_lossy(), ledger)
}

/// Checks a text that was read from `file`. Fails if the text is refused. Without a ledger, the
/// text is checked on its own.
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

/// Reads a token from a file with a single line.
pub fn read_token(path: &Path) -> Result<String, ControlError> {
    let text = read_file(path)?;
    let token = text.trim();
    let is_printable = token.bytes().all(|byte| byte.is_ascii_graphic());
    if token.is_empty() || !is_printable {
        return Err(ControlError::InvalidToken(path.to_owned()));
    }
    Ok(token.to_owned())
}

fn read_file(path: &Path) -> Result<String, ControlError> {
    std::fs::read_to_string(path).map_err(|reason| ControlError::FileRead(path.to_owned(), reason))
}
