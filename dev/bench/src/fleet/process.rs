//! One process of the system under test, ended when its guard is dropped.

use std::fs::File;
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use tokio::time::sleep;

use crate::error::BenchError;
use crate::status;

const UP_WAIT: Duration = Duration::from_secs(10);
const POLL: Duration = Duration::from_millis(20);

/// How a process is started.
#[derive(Clone, Debug)]
pub struct Program {
    /// The program and its arguments.
    pub line: Vec<String>,
    /// Its admin address.
    pub admin: SocketAddr,
    /// File of its log lines.
    pub log_file: std::path::PathBuf,
}

/// A running process.
pub struct Process {
    program: Program,
    child: Child,
}

impl Process {
    /// Starts it.
    pub fn start(program: Program) -> Result<Process, BenchError> {
        let child = spawn(&program)?;
        Ok(Process { program, child })
    }

    /// Its process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Its admin address.
    pub fn admin(&self) -> SocketAddr {
        self.program.admin
    }

    /// Ends it at once and waits for its end.
    pub fn kill(&mut self) {
        // Fails only when it has ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Starts it again at the same addresses.
    pub fn restart(&mut self) -> Result<(), BenchError> {
        self.kill();
        self.child = spawn(&self.program)?;
        Ok(())
    }

    /// Sends a signal by its name, such as `STOP` or `CONT`.
    pub fn signal(&self, name: &str) -> Result<(), BenchError> {
        let line = format!("kill -{name} {}", self.id());
        Command::new("sh").arg("-c").arg(line).status()?;
        Ok(())
    }
}

/// Waits until an admin address answers.
pub async fn up(admin: SocketAddr) -> Result<(), BenchError> {
    let began = Instant::now();
    loop {
        let Err(error) = status::get(admin, "/livez").await else {
            return Ok(());
        };
        if began.elapsed() > UP_WAIT {
            return Err(error);
        }
        sleep(POLL).await;
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

fn spawn(program: &Program) -> Result<Child, BenchError> {
    let log = open(&program.log_file)?;
    let errors = log.try_clone()?;
    let mut words = program.line.iter();
    let mut command = Command::new(words.next().map(String::as_str).unwrap_or_default());
    command.args(words);
    let child = command
        .stdin(Stdio::null())
        .stdout(log)
        .stderr(errors)
        .spawn()?;
    Ok(child)
}

fn open(path: &Path) -> Result<File, BenchError> {
    Ok(File::options().create(true).append(true).open(path)?)
}
