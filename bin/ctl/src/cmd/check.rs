//! `check`: is this text good?

use clap::ArgMatches;
use control::{check_file, read_history};

use super::failure::Failure;
use super::{file, log};

/// Checks the file alone, or with `--log` against the other customers' texts too.
pub async fn run(flags: &ArgMatches) -> Result<(), Failure> {
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
        "good: customer {}, {} services, {} tokens",
        checked.config.customer,
        checked.config.services.len(),
        checked.config.tokens.len()
    );
    Ok(())
}
