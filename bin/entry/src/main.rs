//! `hornbeamrock-entry`: takes requests behind the platform's balancer.

mod cli;

use std::process::ExitCode;

use gateway::{Entry, EntryError, Tuning};
use settings::{EXIT_SETTINGS, EntrySettings};
use tokio::runtime::{Builder, Runtime};
use tokio::signal::unix::{SignalKind, signal};

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
            ExitCode::FAILURE
        }
    }
}

fn runtime() -> std::io::Result<Runtime> {
    Builder::new_multi_thread().enable_all().build()
}

fn run(settings: EntrySettings) -> Result<(), EntryError> {
    let _log_guard = telemetry::start_logs(settings.common.log_level)?;
    let runtime = runtime().map_err(EntryError::Runtime)?;
    runtime.block_on(async {
        let mut terminate = signal(SignalKind::terminate()).map_err(EntryError::Signal)?;
        let mut interrupt = signal(SignalKind::interrupt()).map_err(EntryError::Signal)?;
        let stop = async move {
            tokio::select! {
                _ = terminate.recv() => {}
                _ = interrupt.recv() => {}
            }
        };
        let entry = Entry::bind(settings, Tuning::default()).await?;
        entry.run(stop).await
    })
}
