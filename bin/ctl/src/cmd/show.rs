//! `show`: prints the accepted configuration text of a customer.

use clap::ArgMatches;
use control::{ControlError, read_history};
use serde::Serialize;
use settings::name;
use types::CustomerName;

use super::error::CommandError;
use super::log;
use crate::output::{OutputFormat, print_json};

#[derive(Serialize)]
struct AcceptedText<'a> {
    customer: &'a str,
    version: u64,
    id: &'a str,
    text: &'a str,
}

/// Prints the text itself, or a JSON object that also has its version and the id of its publish.
pub async fn run(flags: &ArgMatches) -> Result<(), CommandError> {
    let format = OutputFormat::from_flags(flags)?;
    let customer: CustomerName = name(flags, "customer")?;
    let history = read_history(&log(flags)?).await?;
    let accepted = history.ledger.current(&customer);
    let accepted = accepted.ok_or_else(|| ControlError::NoAcceptedVersion(customer.to_string()))?;
    match format {
        OutputFormat::Table => print!("{}", accepted.source),
        OutputFormat::Json => print_json(&AcceptedText {
            customer: customer.as_str(),
            version: accepted.version,
            id: &accepted.id,
            text: &accepted.source,
        }),
    }
    Ok(())
}
