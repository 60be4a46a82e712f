//! `publish`: append, read back, follow into force.

use clap::ArgMatches;
use control::{
    PublishProgress, PublishSettings, Published, check_file, publish, read_history,
    wait_until_active,
};
use settings::{SettingsError, addresses, milliseconds, optional_text};

use super::failure::Failure;
use super::{file, log};
use crate::output::{Form, print_json};

const WAIT: &str = "0 to 600000 milliseconds";
const WAIT_MS_MAX: u64 = 600_000;
const BASE: &str = "a version number, 0 for none";

/// Publishes the file; progress goes to standard error.
pub async fn run(flags: &ArgMatches) -> Result<(), Failure> {
    let form = Form::of(flags)?;
    let log = log(flags)?;
    let processes = addresses(flags, "admin")?;
    let wait_ms = milliseconds(flags, "wait-ms", 0..=WAIT_MS_MAX, WAIT)?;
    let settings = publish_settings(flags)?;
    let mut history = read_history(&log).await?;
    let checked = check_file(file(flags)?, Some(&history.ledger))?;
    for warning in &checked.warnings.0 {
        eprintln!("{warning}");
    }
    let published = publish(&log, &mut history, &checked, &settings, show).await?;
    wait_until_active(&processes, &published, wait_ms, show).await?;
    match form {
        Form::Json => print_json(&published),
        Form::Table => println!("{}", sentence(&published, processes.len())),
    }
    Ok(())
}

fn sentence(published: &Published, processes: usize) -> String {
    let accepted = format!(
        "version {} of {} is accepted",
        published.version, published.customer
    );
    match processes {
        0 => format!("{accepted}; name processes with --admin to wait until it is in force"),
        _ => format!("{accepted} and in force at {processes} processes"),
    }
}

fn publish_settings(flags: &ArgMatches) -> Result<PublishSettings, SettingsError> {
    let base = optional_text(flags, "base").map(|value| {
        let bad = |_| SettingsError::InvalidValue("base", value.to_owned(), BASE);
        value.parse().map_err(bad)
    });
    Ok(PublishSettings {
        base: base.transpose()?,
        id: optional_text(flags, "id").map(str::to_owned),
    })
}

fn show(progress: PublishProgress) {
    match progress {
        PublishProgress::AppendRetried(tries) => {
            eprintln!("no answer from the log, try {tries}; again with the same id")
        }
        PublishProgress::Accepted(version) => eprintln!("accepted as version {version}"),
        PublishProgress::Active(reached, all) => {
            eprintln!("in force at {reached} of {all} processes")
        }
    }
}
