//! The commands, one module per command.

mod check;
mod completions;
mod diff;
mod drain;
mod error;
mod history;
mod publish;
mod rollback;
mod show;
mod spread;
mod status;
mod store;

use std::future::Future;
use std::path::Path;

use adapters::{ClientSettings, LogClient};
use clap::ArgMatches;
use settings::{SettingsError, address, required_text};

use error::CommandError;

const FILE_EXPECTED: &str = "a file with a configuration text";

/// Runs the command that is named on the command line.
pub fn run(matches: &ArgMatches) -> Result<(), CommandError> {
    match matches.subcommand() {
        Some(("check", flags)) => block_on(check::run(flags)),
        Some(("publish", flags)) => block_on(publish::run(flags)),
        Some(("show", flags)) => block_on(show::run(flags)),
        Some(("diff", flags)) => block_on(diff::run(flags)),
        Some(("history", flags)) => block_on(history::run(flags)),
        Some(("status", flags)) => block_on(status::run(flags)),
        Some(("drain", flags)) => block_on(drain::run(flags)),
        Some(("rollback", flags)) => block_on(rollback::run(flags)),
        Some(("store", flags)) => block_on(store::run(flags)),
        Some(("spread", flags)) => spread::run(flags),
        Some(("completions", flags)) => completions::run(flags),
        _ => Ok(()),
    }
}

fn block_on(command: impl Future<Output = Result<(), CommandError>>) -> Result<(), CommandError> {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(CommandError::Runtime)?
        .block_on(command)
}

fn log(flags: &ArgMatches) -> Result<LogClient, SettingsError> {
    Ok(LogClient::new(
        address(flags, "log")?,
        &ClientSettings::default(),
    ))
}

fn file(flags: &ArgMatches) -> Result<&Path, SettingsError> {
    required_text(flags, "file", FILE_EXPECTED).map(Path::new)
}
