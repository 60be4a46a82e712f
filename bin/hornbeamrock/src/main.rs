//! `hornbeamrock`: the process that runs on the users' platform.

mod cli;

use std::path::Path;
use std::process::ExitCode;

use front::FrontError;
use platform::settings::{self, FrontSettings};
use quick_error::quick_error;
use telemetry::{LogLevel, LogsError, Output};

quick_error! {
    /// Why the process can't run.
    #[derive(Debug)]
    enum RunError {
        /// No log.
        Logs(reason: LogsError) {
            source(reason)
            from()
            display("{}", reason)
        }
        /// No runtime.
        Runtime(reason: std::io::Error) {
            source(reason)
            from()
            display("cannot start the runtime: {}", reason)
        }
        /// The front can't run.
        Front(reason: FrontError) {
            source(reason)
            from()
            display("{}", reason)
        }
    }
}

/// Exit code for settings that can't be used.
const EXIT_SETTINGS: u8 = 2;

fn main() -> ExitCode {
    let matches = cli::command().get_matches();
    let level = matches
        .subcommand()
        .and_then(|(_, front)| front.get_one::<String>("log-level"))
        .and_then(|word| LogLevel::parse(word))
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
    // On one core a second thread costs memory and wake-ups and runs no earlier.
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
    // Tasks that still wait have nothing left to finish.
    runtime.shutdown_background();
    Ok(())
}
