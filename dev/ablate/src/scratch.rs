//! Scratch clones of the sources, in which the variants are built and run.

use std::path::{Path, PathBuf};
use std::process::Command;

use crate::{AblateError, Mechanism};

/// A git clone of the sources.
pub struct ScratchClone {
    root: PathBuf,
}

impl ScratchClone {
    /// Clones `sources` to `root`. An existing folder `root` is used without any check or update.
    pub fn new(sources: &Path, root: PathBuf) -> Result<Self, AblateError> {
        if !root.exists() {
            let mut clone = Command::new("git");
            clone.args(["clone", "--quiet"]).arg(sources).arg(&root);
            run(&mut clone, "git clone")?;
        }
        Ok(Self { root })
    }

    /// Root folder of the clone.
    pub fn root(&self) -> &Path {
        &self.root
    }

    /// Restores the cloned sources, then switches one mechanism off.
    pub fn switch_off(&self, mechanism: &Mechanism) -> Result<(), AblateError> {
        let mut checkout = Command::new("git");
        checkout
            .args(["checkout", "--quiet", "."])
            .current_dir(&self.root);
        run(&mut checkout, "git checkout")?;
        mechanism.switch_off(&self.root)
    }
}

/// Runs a program and waits for it. On failure the error has the program's standard error.
pub(crate) fn run(command: &mut Command, label: &str) -> Result<(), AblateError> {
    let program_error = |reason: String| AblateError::Program(label.to_owned(), reason);
    let output = command
        .output()
        .map_err(|error| program_error(error.to_string()))?;
    match output.status.success() {
        true => Ok(()),
        false => Err(program_error(
            String::from_utf8_lossy(&output.stderr).into_owned(),
        )),
    }
}
