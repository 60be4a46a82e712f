//! `hornbeamrock-agent`: sidecar process that runs on the VM of one endpoint.

mod cli;

use std::process::ExitCode;

use node::{NodeError, process};
use settings::{AgentSettings, EXIT_SETTINGS};
use sidecar::{Sidecar, Tuning};

/// Worker threads of the async runtime. Few, because the agent mostly waits for I/O and the VM's
/// CPUs are for the endpoint.
const WORKER_THREADS: usize = 2;

fn main() -> ExitCode {
    let settings = match cli::read_settings() {
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
    process::run(settings.common.log_level, WORKER_THREADS, |stop| async {
        let sidecar = Sidecar::bind(settings, Tuning::default()).await?;
        sidecar.run(stop).await
    })
}
