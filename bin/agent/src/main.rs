//! `hornbeamrock-agent`: stands in the slot beside one endpoint.

mod cli;

use std::process::ExitCode;

use settings::{AgentSettings, EXIT_SETTINGS};
use sidecar::{AgentError, Sidecar, Tuning};
use tokio::runtime::{Builder, Runtime};
use tokio::signal::unix::{SignalKind, signal};

fn main() -> ExitCode {
    let settings = match cli::settings() {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("hornbeamrock-agent: {error}");
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    match run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("hornbeamrock-agent: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Threads for all tasks. The agent mostly waits, and the VM belongs to the endpoint.
const WORKER_THREADS: usize = 2;

fn runtime() -> std::io::Result<Runtime> {
    Builder::new_multi_thread()
        .worker_threads(WORKER_THREADS)
        .enable_all()
        .build()
}

fn run(settings: AgentSettings) -> Result<(), AgentError> {
    let _log_guard = telemetry::start_logs(settings.common.log_level)?;
    let runtime = runtime().map_err(AgentError::Runtime)?;
    runtime.block_on(async {
        let mut terminate = signal(SignalKind::terminate()).map_err(AgentError::Signal)?;
        let mut interrupt = signal(SignalKind::interrupt()).map_err(AgentError::Signal)?;
        let stop = async move {
            tokio::select! {
                _ = terminate.recv() => {}
                _ = interrupt.recv() => {}
            }
        };
        let sidecar = Sidecar::bind(settings, Tuning::default()).await?;
        sidecar.run(stop).await
    })
}
