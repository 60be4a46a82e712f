//! `hornbeamrock-entry`: takes requests behind the platform's balancer.

mod cli;

use std::process::ExitCode;

use gateway::{Entry, EntryError, Tuning};
use node::process;
use settings::{EXIT_SETTINGS, EntrySettings};

/// Threads for all tasks. An entry VM is thin and has nothing else to do.
const THREADS: usize = 4;

fn main() -> ExitCode {
    let settings = match cli::settings() {
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
    process::run(settings.common.log_level, THREADS, |stop| async {
        let entry = Entry::bind(settings, Tuning::default()).await?;
        entry.run(stop).await
    })
}
