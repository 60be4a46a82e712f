//! A child process of the system under test, killed on drop.

use std::fs::File;
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use tokio::time::sleep;

use crate::error::BenchError;
use crate::status;

const LIVE_TIMEOUT: Duration = Duration::from_secs(10);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Command line and files of a process, kept for a restart.
#[derive(Clone, Debug)]
pub struct Program {
    /// Path of the program, then its arguments.
    pub command_line: Vec<String>,
    /// Admin address that the arguments set.
    pub admin: SocketAddr,
    /// File to which standard output and standard error are appended.
    pub log_file: std::path::PathBuf,
}

/// A child process; killed on drop.
pub struct Process {
    program: Program,
    child: Child,
}

impl Process {
    /// Starts the program without waiting until it answers.
    pub fn start(program: Program) -> Result<Process, BenchError> {
        let child = spawn(&program)?;
        Ok(Process { program, child })
    }

    /// Process id; a restart changes it.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Admin address of the process.
    pub fn admin(&self) -> SocketAddr {
        self.program.admin
    }

    /// Kills the process and waits until it has ended.
    pub fn kill(&mut self) {
        // Fails only if the process has already ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Kills the process and starts it again with the same command line.
    pub fn restart(&mut self) -> Result<(), BenchError> {
        self.kill();
        self.child = spawn(&self.program)?;
        Ok(())
    }

    /// Sends a signal by its name, such as `STOP` or `CONT`.
    pub fn signal(&self, name: &str) -> Result<(), BenchError> {
        let command = format!("kill -{name} {}", self.id());
        Command::new("sh").arg("-c").arg(command).status()?;
        Ok(())
    }
}

/// Waits until a process answers at its admin address.
pub async fn wait_until_live(admin: SocketAddr) -> Result<(), BenchError> {
    let started = Instant::now();
    loop {
        let Err(error) = status::get(admin, "/livez").await else {
            return Ok(());
        };
        if started.elapsed() > LIVE_TIMEOUT {
            return Err(error);
        }
        sleep(POLL_INTERVAL).await;
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

fn spawn(program: &Program) -> Result<Child, BenchError> {
    let log = open_for_append(&program.log_file)?;
    let error_log = log.try_clone()?;
    let mut parts = program.command_line.iter();
    let mut command = Command::new(parts.next().map(String::as_str).unwrap_or_default());
    command.args(parts);
    let child = command
        .stdin(Stdio::null())
        .stdout(log)
        .stderr(error_log)
        .spawn()?;
    Ok(child)
}

fn open_for_append(path: &Path) -> Result<File, BenchError> {
    Ok(File::options().create(true).append(true).open(path)?)
}
