//! `publish`: appends a configuration text to the log, reads the verdict back, and waits until the
//! accepted version is active at the processes.

use clap::ArgMatches;
use control::{
    PublishProgress, PublishSettings, Published, check_file, publish, read_history,
    wait_until_active,
};
use settings::{SettingsError, addresses, milliseconds, optional_text};

use super::error::CommandError;
use super::{file, log};
use crate::output::{OutputFormat, print_json};

const WAIT_EXPECTED: &str = "0 to 600000 milliseconds";
const WAIT_MS_MAX: u64 = 600_000;
const BASE_EXPECTED: &str = "a version number, 0 for none";

/// Publishes the file. Warnings and progress are printed to standard error.
pub async fn run(flags: &ArgMatches) -> Result<(), CommandError> {
    let format = OutputFormat::from_flags(flags)?;
    let log = log(flags)?;
    let processes = addresses(flags, "admin")?;
    let wait_ms = milliseconds(flags, "wait-ms", 0..=WAIT_MS_MAX, WAIT_EXPECTED)?;
    let settings = publish_settings(flags)?;
    let mut history = read_history(&log).await?;
    let checked = check_file(file(flags)?, Some(&history.ledger))?;
    for warning in &checked.warnings.0 {
        eprintln!("{warning}");
    }
    let published = publish(&log, &mut history, &checked, &settings, print_progress).await?;
    wait_until_active(&processes, &published, wait_ms, print_progress).await?;
    match format {
        OutputFormat::Json => print_json(&published),
        OutputFormat::Table => println!("{}", summary(&published, processes.len())),
    }
    Ok(())
}

fn summary(published: &Published, processes: usize) -> String {
    let accepted = format!(
        "version {} of {} is accepted",
        published.version, published.customer
    );
    match processes {
        0 => format!("{accepted}; pass --admin to wait until it is active at processes"),
        _ => format!("{accepted} and active at {processes} processes"),
    }
}

fn publish_settings(flags: &ArgMatches) -> Result<PublishSettings, SettingsError> {
    let base = optional_text(flags, "base").map(|value| {
        let invalid = |_| SettingsError::InvalidValue("base", value.to_owned(), BASE_EXPECTED);
        value.parse().map_err(invalid)
    });
    Ok(PublishSettings {
        base: base.transpose()?,
        id: optional_text(flags, "id").map(str::to_owned),
    })
}

fn print_progress(progress: PublishProgress) {
    match progress {
        PublishProgress::AppendRetried(attempts) => {
            eprintln!(
                "the log did not confirm the append, attempt {attempts}; retrying with the same id"
            )
        }
        PublishProgress::Accepted(version) => eprintln!("accepted as version {version}"),
        PublishProgress::Active(reached, all) => {
            eprintln!("active at {reached} of {all} processes")
        }
    }
}
