//! The table of mechanisms, and switching one off in the sources.

use std::path::Path;

use serde::Deserialize;

use crate::AblateError;

/// Replacement of a text in a source file.
#[derive(Clone, Debug, Deserialize)]
pub struct Change {
    /// Path of the file, relative to the root of the sources.
    pub file: String,
    /// Text to replace; must occur exactly once in the file.
    pub from: String,
    /// Replacement text.
    pub to: String,
}

/// Mechanism of the product that can be switched off.
#[derive(Clone, Debug, Deserialize)]
pub struct Mechanism {
    /// Name for `--only` and for the printed table.
    pub name: String,
    /// Benefit of the mechanism or the failure that it prevents; documentation only.
    pub protects: String,
    /// Replacements that switch the mechanism off; empty for the control.
    #[serde(default)]
    pub change: Vec<Change>,
}

#[derive(Deserialize)]
struct Table {
    mechanism: Vec<Mechanism>,
}

/// Reads the table of mechanisms.
pub fn read_mechanisms(path: &Path) -> Result<Vec<Mechanism>, AblateError> {
    let text = read(path)?;
    let table: Table =
        toml::from_str(&text).map_err(|reason| AblateError::Table(path.to_owned(), reason))?;
    Ok(table.mechanism)
}

impl Mechanism {
    /// The control, which switches nothing off: its differences show the variation between runs of
    /// equal programs.
    pub fn control() -> Self {
        Self {
            name: "(nothing)".to_owned(),
            protects: String::new(),
            change: Vec::new(),
        }
    }

    /// Applies the replacements to the sources in `root`. Errors if a text does not occur exactly
    /// once; earlier replacements stay applied.
    pub fn switch_off(&self, root: &Path) -> Result<(), AblateError> {
        for change in &self.change {
            let path = root.join(&change.file);
            let text = read(&path)?;
            let count = text.matches(&change.from).count();
            if count != 1 {
                return Err(AblateError::TextCount(self.name.clone(), path, count));
            }
            let text = text.replace(&change.from, &change.to);
            std::fs::write(&path, text).map_err(|reason| AblateError::File(path, reason))?;
        }
        Ok(())
    }
}

fn read(path: &Path) -> Result<String, AblateError> {
    std::fs::read_to_string(path).map_err(|reason| AblateError::File(path.to_owned(), reason))
}
