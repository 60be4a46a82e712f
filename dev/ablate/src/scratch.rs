//! Scratch clones in which versions are built and played.

use std::path::{Path, PathBuf};
use std::process::Command;

use crate::{AblateError, Mechanism};

/// A clone of the sources.
pub struct Scratch {
    root: PathBuf,
}

impl Scratch {
    /// Clones `sources` to `root`, or takes the clone that stands there as it is.
    pub fn new(sources: &Path, root: PathBuf) -> Result<Self, AblateError> {
        if !root.exists() {
            let mut clone = Command::new("git");
            clone.args(["clone", "--quiet"]).arg(sources).arg(&root);
            run(&mut clone, "git clone")?;
        }
        Ok(Self { root })
    }

    /// Where it stands.
    pub fn root(&self) -> &Path {
        &self.root
    }

    /// Brings the sources back to what was cloned and switches one mechanism off.
    pub fn switch_off(&self, mechanism: &Mechanism) -> Result<(), AblateError> {
        let mut checkout = Command::new("git");
        checkout
            .args(["checkout", "--quiet", "."])
            .current_dir(&self.root);
        run(&mut checkout, "git checkout")?;
        mechanism.switch_off(&self.root)
    }
}

/// Runs a program to its end; its standard error goes into the error.
pub(crate) fn run(command: &mut Command, what: &str) -> Result<(), AblateError> {
    let failed = |why: String| AblateError::Program(what.to_owned(), why);
    let output = command
        .output()
        .map_err(|error| failed(error.to_string()))?;
    match output.status.success() {
        true => Ok(()),
        false => Err(failed(String::from_utf8_lossy(&output.stderr).into_owned())),
    }
}
