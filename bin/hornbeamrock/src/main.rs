//! `hornbeamrock`: runs a front of the rollout service on the users' platform.

mod cli;

use std::path::Path;
use std::process::ExitCode;

use front::FrontError;
use platform::settings::{self, FrontSettings};
use quick_error::quick_error;
use telemetry::{LogLevel, LogsError, Output};

quick_error! {
    /// Why the process failed.
    #[derive(Debug)]
    enum RunError {
        /// The logger did not start.
        Logs(reason: LogsError) {
            source(reason)
            from()
            display("{}", reason)
        }
        /// The Tokio runtime did not start.
        Runtime(reason: std::io::Error) {
            source(reason)
            from()
            display("failed to start the Tokio runtime: {}", reason)
        }
        /// The front did not start.
        Front(reason: FrontError) {
            source(reason)
            from()
            display("{}", reason)
        }
    }
}

/// Exit code for a settings file that is missing or invalid.
const EXIT_SETTINGS: u8 = 2;

fn main() -> ExitCode {
    let matches = cli::command().get_matches();
    let level = matches
        .subcommand()
        .and_then(|(_, front)| front.get_one::<String>("log-level"))
        .and_then(|name| LogLevel::parse(name))
        .unwrap_or(LogLevel::Info);
    let path = settings::path();
    let settings = match settings::load(&path) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("hornbeamrock: {error}");
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    match run(settings, &path, level) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("hornbeamrock: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run(settings: FrontSettings, path: &Path, level: LogLevel) -> Result<(), RunError> {
    let _logs = telemetry::start_logs_to(level, Output::Stdout)?;
    // On one core, a second worker thread would cost memory and wake-ups without running anything
    // sooner.
    let runtime = match settings.cores {
        0 | 1 => tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?,
        cores => tokio::runtime::Builder::new_multi_thread()
            .worker_threads(cores)
            .enable_all()
            .build()?,
    };
    runtime.block_on(front::run(settings, path))?;
    // The front has drained its work; tasks that remain only wait, so they are not waited for.
    runtime.shutdown_background();
    Ok(())
}
