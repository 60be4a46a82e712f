//! An entry with another routing policy than the shipped one, as a process of its own.

use clap::{ArgMatches, Command};
use gateway::{Entry, Tuning};
use node::process;
use routing::{Policy, Settings};
use settings::{EntrySettings, entry_command, flag, optional_text};

use crate::error::BenchError;

const ALLOWED: &str =
    "random, least-outstanding, two-choices, two-choices-report or compute-memory";

/// Threads for all tasks, as in the shipped program.
const THREADS: usize = 4;

/// The command line: an entry's own and the policy.
pub fn command() -> Command {
    entry_command()
        .name("entry")
        .about("Runs an entry with a routing policy of choice")
        .arg(flag("policy", "POLICY", ALLOWED).default_value("compute-memory"))
}

/// The policy with this name. Errors when there is none.
pub fn policy(word: &str, flag: &'static str) -> Result<Policy, BenchError> {
    Policy::parse(word).ok_or_else(|| BenchError::Flag(flag, word.to_owned(), ALLOWED))
}

/// Runs the entry until it is told to end.
pub fn run(matches: &ArgMatches) -> Result<(), BenchError> {
    let settings = EntrySettings::from_matches(matches)?;
    let word = optional_text(matches, "policy").unwrap_or_default();
    let tuning = Tuning {
        routing: Settings {
            policy: policy(word, "policy")?,
            ..Settings::default()
        },
        ..Tuning::default()
    };
    let level = settings.common.log_level;
    process::run(level, THREADS, |stop| async {
        let entry = Entry::bind(settings, tuning).await?;
        entry.run(stop).await
    })?;
    Ok(())
}
