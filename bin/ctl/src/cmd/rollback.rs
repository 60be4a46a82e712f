//! `rollback`: a model back to an earlier version.

use std::path::Path;

use clap::ArgMatches;
use control::{Rollback, read_token, roll_back};
use settings::{SettingsError, address, name, required_text};
use types::{ServiceName, WeightVersion};

use super::failure::Failure;

const WEIGHTS: &str = "EPOCH.VERSION, such as 1.7";
const TOKEN_FILE: &str = "a file with an operator's token";

/// Rolls back through an entry.
pub async fn run(flags: &ArgMatches) -> Result<(), Failure> {
    let service: ServiceName = name(flags, "service")?;
    let token = read_token(Path::new(required_text(flags, "token-file", TOKEN_FILE)?))?;
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
    let value = required_text(flags, "weights", WEIGHTS)?;
    let bad = |_| SettingsError::InvalidValue("weights", value.to_owned(), WEIGHTS);
    value.parse().map_err(bad)
}
