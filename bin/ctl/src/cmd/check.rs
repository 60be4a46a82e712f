//! `check`: checks a configuration text without publishing it.

use clap::ArgMatches;
use control::{check_file, read_history};

use super::error::CommandError;
use super::{file, log};

/// Checks the file by itself; with `--log` also against the accepted texts of the other customers.
pub async fn run(flags: &ArgMatches) -> Result<(), CommandError> {
    let history = match settings::optional_text(flags, "log") {
        Some(_) => Some(read_history(&log(flags)?).await?),
        None => None,
    };
    let ledger = history.as_ref().map(|history| &history.ledger);
    let checked = check_file(file(flags)?, ledger)?;
    for warning in &checked.warnings.0 {
        eprintln!("{warning}");
    }
    println!(
        "valid: customer {}, {} services, {} tokens",
        checked.config.customer,
        checked.config.services.len(),
        checked.config.tokens.len()
    );
    Ok(())
}
