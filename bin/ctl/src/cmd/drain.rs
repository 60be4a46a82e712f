//! `drain`: processes are to leave.

use clap::ArgMatches;
use settings::addresses;

use super::failure::Failure;
use super::status::ADMIN;

/// Tells each process; the first that does not answer ends the command.
pub async fn run(flags: &ArgMatches) -> Result<(), Failure> {
    settings::required_text(flags, "admin", ADMIN)?;
    for address in addresses(flags, "admin")? {
        control::drain(address).await?;
        println!("{address} is leaving");
    }
    Ok(())
}
