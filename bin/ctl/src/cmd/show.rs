//! `show`: the accepted text.

use clap::ArgMatches;
use control::{ControlError, read_history};
use serde::Serialize;
use settings::name;
use types::CustomerName;

use super::failure::Failure;
use super::log;
use crate::output::{Form, print_json};

#[derive(Serialize)]
struct Shown<'a> {
    customer: &'a str,
    version: u64,
    id: &'a str,
    text: &'a str,
}

/// Prints a customer's accepted text.
pub async fn run(flags: &ArgMatches) -> Result<(), Failure> {
    let form = Form::of(flags)?;
    let customer: CustomerName = name(flags, "customer")?;
    let history = read_history(&log(flags)?).await?;
    let accepted = history.ledger.current(&customer);
    let accepted = accepted.ok_or_else(|| ControlError::NoAcceptedVersion(customer.to_string()))?;
    match form {
        Form::Table => print!("{}", accepted.source),
        Form::Json => print_json(&Shown {
            customer: customer.as_str(),
            version: accepted.version,
            id: &accepted.id,
            text: &accepted.source,
        }),
    }
    Ok(())
}
