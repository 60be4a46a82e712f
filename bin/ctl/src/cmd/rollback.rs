//! `rollback`: rolls a model back to an earlier weight version.

use std::path::Path;

use clap::ArgMatches;
use control::{Rollback, read_token, roll_back};
use settings::{SettingsError, address, name, required_text};
use types::{ServiceName, WeightVersion};

use super::error::CommandError;

const WEIGHTS_EXPECTED: &str = "EPOCH.VERSION, such as 1.7";
const TOKEN_FILE_EXPECTED: &str = "a file with an operator's token";

/// Sends the rollback to an entry and prints its answer.
pub async fn run(flags: &ArgMatches) -> Result<(), CommandError> {
    let service: ServiceName = name(flags, "service")?;
    let token = read_token(Path::new(required_text(
        flags,
        "token-file",
        TOKEN_FILE_EXPECTED,
    )?))?;
    let rollback = Rollback {
        entry: address(flags, "entry")?,
        token: &token,
        service: &service,
        version: version(flags)?,
    };
    println!("{}", roll_back(&rollback).await?);
    Ok(())
}

fn version(flags: &ArgMatches) -> Result<WeightVersion, SettingsError> {
    let value = required_text(flags, "weights", WEIGHTS_EXPECTED)?;
    let invalid = |_| SettingsError::InvalidValue("weights", value.to_owned(), WEIGHTS_EXPECTED);
    value.parse().map_err(invalid)
}
