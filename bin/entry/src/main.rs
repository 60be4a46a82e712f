//! `hornbeamrock-entry`: accepts requests from the platform's balancer and sends each to an
//! endpoint.

mod cli;

use std::process::ExitCode;

use gateway::{Entry, EntryError, Tuning};
use node::process;
use settings::{EXIT_SETTINGS, EntrySettings};

/// Worker threads of the async runtime. The entry's VM is small and runs nothing else.
const WORKER_THREADS: usize = 4;

fn main() -> ExitCode {
    let settings = match cli::read_settings() {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("hornbeamrock-entry: {error}");
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    match run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("hornbeamrock-entry: {error}");
            match error {
                EntryError::Claims(_) => ExitCode::from(EXIT_SETTINGS),
                EntryError::Node(_) => ExitCode::FAILURE,
            }
        }
    }
}

fn run(settings: EntrySettings) -> Result<(), EntryError> {
    process::run(settings.common.log_level, WORKER_THREADS, |stop| async {
        let entry = Entry::bind(settings, Tuning::default()).await?;
        entry.run(stop).await
    })
}
