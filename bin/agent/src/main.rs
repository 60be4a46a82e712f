//! `hornbeamrock-agent`: stands in the slot beside one endpoint.

mod cli;

use std::process::ExitCode;

use node::{NodeError, process};
use settings::{AgentSettings, EXIT_SETTINGS};
use sidecar::{Sidecar, Tuning};

/// Threads for all tasks. The agent mostly waits, and the VM belongs to the endpoint.
const THREADS: usize = 2;

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

fn run(settings: AgentSettings) -> Result<(), NodeError> {
    process::run(settings.common.log_level, THREADS, |stop| async {
        let sidecar = Sidecar::bind(settings, Tuning::default()).await?;
        sidecar.run(stop).await
    })
}
