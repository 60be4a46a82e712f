//! A real process of the system; killed and waited for when it is dropped.

use std::path::{Path, PathBuf};
use std::process::{Command, ExitStatus, Stdio};

use crate::{ProofError, wait_until};

/// A running process.
pub struct Child {
    name: &'static str,
    process: std::process::Child,
}

impl Child {
    /// Starts a program that stands beside the test executable's folder. Its log lines go
    /// to `log`.
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

    /// Ends it at once, without a chance to say anything.
    pub fn kill(&mut self) -> Result<(), ProofError> {
        self.process.kill()?;
        self.process.wait()?;
        Ok(())
    }

    /// Stops it where it stands; its sockets stay open.
    pub fn pause(&self) -> Result<(), ProofError> {
        self.signal("-STOP")
    }

    /// Lets a frozen process run on.
    pub fn resume(&self) -> Result<(), ProofError> {
        self.signal("-CONT")
    }

    /// Asks it to leave.
    pub fn terminate(&self) -> Result<(), ProofError> {
        self.signal("-TERM")
    }

    /// Whether it still runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.process.try_wait(), Ok(None))
    }

    /// Waits for its end.
    pub async fn wait_until_ended(&mut self) -> Result<ExitStatus, ProofError> {
        let what = format!("the end of {}", self.name);
        wait_until(&what, async || self.process.try_wait().ok().flatten()).await
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
        // It may have ended already; then there is nothing left to end.
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

fn program(name: &str) -> Result<PathBuf, ProofError> {
    let test = std::env::current_exe()?;
    let folder = test.parent().and_then(Path::parent);
    let missing = || ProofError::TimedOut(format!("{name}: cargo build --workspace --bins"));
    let program = folder.ok_or_else(missing)?.join(name);
    match program.exists() {
        true => Ok(program),
        false => Err(missing()),
    }
}
