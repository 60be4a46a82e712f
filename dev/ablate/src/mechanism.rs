//! The table of mechanisms and how one is switched off.

use std::path::Path;

use serde::Deserialize;

use crate::AblateError;

/// A text to replace.
#[derive(Clone, Debug, Deserialize)]
pub struct Change {
    /// File, from the root of the sources.
    pub file: String,
    /// Text that stands there exactly once.
    pub from: String,
    /// What takes its place.
    pub to: String,
}

/// Something that can be switched off.
#[derive(Clone, Debug, Deserialize)]
pub struct Mechanism {
    /// Its name in tables.
    pub name: String,
    /// What it protects or buys.
    pub protects: String,
    /// What switches it off; nothing for a control.
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
    /// The row that switches nothing off: what it shows is the spread of the days themselves.
    pub fn control() -> Self {
        Self {
            name: "(nothing)".to_owned(),
            protects: String::new(),
            change: Vec::new(),
        }
    }

    /// Switches the mechanism off in the sources below `root`.
    pub fn switch_off(&self, root: &Path) -> Result<(), AblateError> {
        for change in &self.change {
            let path = root.join(&change.file);
            let text = read(&path)?;
            let count = text.matches(&change.from).count();
            if count != 1 {
                return Err(AblateError::Text(self.name.clone(), path, count));
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
