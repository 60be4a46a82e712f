//! The `entry` subcommand: an entry with a selectable routing policy, run as a separate process
//! so that policies can be compared with the shipped one.

use clap::{ArgMatches, Command};
use gateway::{Entry, Tuning};
use node::process;
use routing::{Policy, Settings};
use settings::{EntrySettings, entry_command, flag, optional_text};

use crate::error::BenchError;

const ALLOWED_POLICIES: &str =
    "random, least-outstanding, two-choices, two-choices-report or compute-memory";

/// Worker threads of the runtime, as many as the shipped entry has.
const WORKER_THREADS: usize = 4;

/// The flags of the shipped entry, and `--policy`.
pub fn command() -> Command {
    entry_command()
        .name("entry")
        .about("Runs an entry with a routing policy of choice")
        .arg(flag("policy", "POLICY", ALLOWED_POLICIES).default_value("compute-memory"))
}

/// Parses a policy name. Errors, naming `flag`, if no policy has this name.
pub fn policy(name: &str, flag: &'static str) -> Result<Policy, BenchError> {
    Policy::parse(name)
        .ok_or_else(|| BenchError::InvalidFlag(flag, name.to_owned(), ALLOWED_POLICIES))
}

/// Runs the entry until the process receives a signal to stop.
pub fn run(matches: &ArgMatches) -> Result<(), BenchError> {
    let settings = EntrySettings::from_matches(matches)?;
    let name = optional_text(matches, "policy").unwrap_or_default();
    let tuning = Tuning {
        routing: Settings {
            policy: policy(name, "policy")?,
            ..Settings::default()
        },
        ..Tuning::default()
    };
    let level = settings.common.log_level;
    process::run(level, WORKER_THREADS, |stop| async {
        let entry = Entry::bind(settings, tuning).await?;
        entry.run(stop).await
    })?;
    Ok(())
}
