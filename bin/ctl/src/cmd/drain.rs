//! `drain`: orders processes to drain and exit.

use clap::ArgMatches;
use settings::addresses;

use super::error::CommandError;
use super::status::ADMIN_EXPECTED;

/// Drains the processes one after the other. Stops at the first process that does not answer; the
/// processes after it are not drained.
pub async fn run(flags: &ArgMatches) -> Result<(), CommandError> {
    settings::required_text(flags, "admin", ADMIN_EXPECTED)?;
    for address in addresses(flags, "admin")? {
        control::drain(address).await?;
        println!("{address} is draining");
    }
    Ok(())
}
