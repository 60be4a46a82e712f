//! `history`: what was published, and what became of it.

use clap::ArgMatches;
use control::{HistoryEntry, read_history};
use settings::optional_name;
use types::CustomerName;

use super::failure::Failure;
use super::log;
use crate::output::{Form, print_json, print_table};

/// Lists the publishes that the log still keeps.
pub async fn run(flags: &ArgMatches) -> Result<(), Failure> {
    let form = Form::of(flags)?;
    let customer: Option<CustomerName> = optional_name(flags, "customer")?;
    let history = read_history(&log(flags)?).await?;
    let entries: Vec<&HistoryEntry> = history.entries_of(customer.as_ref()).collect();
    match form {
        Form::Json => print_json(&entries),
        Form::Table => {
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
