//! `diff`: shows what a publish of a file would change.

use clap::ArgMatches;
use config::{line_diff, summarize};
use control::{check_file, read_history};

use super::error::CommandError;
use super::{file, log};

/// Prints the changed lines and a summary of the changes between the customer's accepted text and
/// the file.
pub async fn run(flags: &ArgMatches) -> Result<(), CommandError> {
    let history = read_history(&log(flags)?).await?;
    let path = file(flags)?;
    let checked = check_file(path, Some(&history.ledger))?;
    let accepted = history.ledger.current(&checked.config.customer);
    let source = accepted.map_or("", |accepted| &accepted.source);
    let name = accepted.map_or("nothing".to_owned(), |accepted| {
        format!("version {}", accepted.version)
    });
    print!(
        "{}",
        line_diff(source, &checked.source, &name, &path.to_string_lossy())
    );
    let old = accepted.map(|accepted| accepted.config.as_ref());
    print!("{}", summarize(old, &checked.config));
    Ok(())
}
