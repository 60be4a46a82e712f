//! `history`: lists the publishes with their verdicts.

use clap::ArgMatches;
use control::{HistoryEntry, read_history};
use settings::optional_name;
use types::CustomerName;

use super::error::CommandError;
use super::log;
use crate::output::{OutputFormat, print_json, print_table};

/// Lists the publishes that the log still has, of all customers or of one.
pub async fn run(flags: &ArgMatches) -> Result<(), CommandError> {
    let format = OutputFormat::from_flags(flags)?;
    let customer: Option<CustomerName> = optional_name(flags, "customer")?;
    let history = read_history(&log(flags)?).await?;
    let entries: Vec<&HistoryEntry> = history.entries_of(customer.as_ref()).collect();
    match format {
        OutputFormat::Json => print_json(&entries),
        OutputFormat::Table => {
            let rows: Vec<_> = entries.iter().map(|entry| row(entry)).collect();
            print_table(
                ["offset", "customer", "base", "version", "verdict", "id"],
                &rows,
            );
        }
    }
    Ok(())
}

fn row(entry: &HistoryEntry) -> [String; 6] {
    [
        entry.offset.to_string(),
        entry.customer.clone(),
        entry.base.to_string(),
        entry
            .version
            .map_or("-".to_owned(), |version| version.to_string()),
        entry.verdict.clone(),
        entry.id.clone(),
    ]
}
