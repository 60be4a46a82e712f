//! `completions`: for the operator's shell.

use clap::ArgMatches;
use clap_complete::{Shell, generate};

use super::failure::Failure;
use crate::cli;

/// Prints the completions of a shell.
pub fn run(flags: &ArgMatches) -> Result<(), Failure> {
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
