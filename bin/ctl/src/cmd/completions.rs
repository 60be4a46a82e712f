//! `completions`: prints the completions for the operator's shell.

use clap::ArgMatches;
use clap_complete::{Shell, generate};

use super::error::CommandError;
use crate::cli;

/// Prints the completion script for the shell that the command line names.
pub fn run(flags: &ArgMatches) -> Result<(), CommandError> {
    if let Some(shell) = flags.get_one::<Shell>("shell") {
        let mut command = cli::command();
        generate(
            *shell,
            &mut command,
            "hornbeamrockctl",
            &mut std::io::stdout(),
        );
    }
    Ok(())
}
