//! A child process that runs one of the product's programs; killed when dropped.

use std::path::{Path, PathBuf};
use std::process::{Command, ExitStatus, Stdio};

use crate::{ProofError, wait_until};

/// Handle of a child process; dropping the handle kills the process and waits for its end.
pub struct Child {
    name: &'static str,
    process: std::process::Child,
}

impl Child {
    /// Starts a program from the target folder of the test executable. Its output is appended to
    /// the file `log`.
    pub fn start(name: &'static str, args: &[String], log: &Path) -> Result<Child, ProofError> {
        let lines = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(log)?;
        let process = Command::new(program(name)?)
            .args(args)
            .stdin(Stdio::null())
            .stdout(lines.try_clone()?)
            .stderr(lines)
            .spawn()?;
        Ok(Child { name, process })
    }

    /// Kills the process without a graceful shutdown.
    pub fn kill(&mut self) -> Result<(), ProofError> {
        self.process.kill()?;
        self.process.wait()?;
        Ok(())
    }

    /// Pauses the process; its sockets stay open.
    pub fn pause(&self) -> Result<(), ProofError> {
        self.signal("-STOP")
    }

    /// Resumes a paused process.
    pub fn resume(&self) -> Result<(), ProofError> {
        self.signal("-CONT")
    }

    /// Requests a graceful shutdown.
    pub fn terminate(&self) -> Result<(), ProofError> {
        self.signal("-TERM")
    }

    /// Whether the process has not ended; a paused process counts as running.
    pub fn is_running(&mut self) -> bool {
        matches!(self.process.try_wait(), Ok(None))
    }

    /// Waits until the process ends and returns its exit status.
    pub async fn wait_until_ended(&mut self) -> Result<ExitStatus, ProofError> {
        let expected_event = format!("the end of {}", self.name);
        wait_until(&expected_event, async || {
            self.process.try_wait().ok().flatten()
        })
        .await
    }

    fn signal(&self, signal: &str) -> Result<(), ProofError> {
        let pid = self.process.id().to_string();
        let sent = Command::new("kill").args([signal, &pid]).status()?;
        match sent.success() {
            true => Ok(()),
            false => Err(ProofError::Ended(self.name.to_owned())),
        }
    }
}

impl Drop for Child {
    fn drop(&mut self) {
        // Both calls fail harmlessly if the process has already ended.
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

fn program(name: &str) -> Result<PathBuf, ProofError> {
    let test = std::env::current_exe()?;
    let folder = test.parent().and_then(Path::parent);
    let missing = || {
        ProofError::NotFound(format!(
            "the program {name}; run cargo build --workspace --bins"
        ))
    };
    let program = folder.ok_or_else(missing)?.join(name);
    match program.exists() {
        true => Ok(program),
        false => Err(missing()),
    }
}
