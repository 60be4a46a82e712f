//! Ceilings of what a customer may state of itself.
//!
//! Limits and weight stand in a text that the customer writes. The operator of the
//! platform bounds them here, out of its reach. One number for all customers: a file
//! with one line a customer was the other way, and would have to be the same on every
//! VM while customers come and go.

use clap::{ArgMatches, Command};

use crate::SettingsError;
use crate::check::optional_text;
use crate::common::flag;

const WEIGHT: &str = "customer-weight-max";
const REQUESTS: &str = "customer-requests-per-s-max";
const IN_PROGRESS: &str = "customer-in-progress-max";
const TOKENS: &str = "customer-tokens-per-s-max";

const COUNT: &str = "1 to 4294967295";

/// Most that a customer gets, whatever its text says; `None` is no ceiling.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Ceilings {
    /// Share in the fair queue.
    pub weight: Option<u32>,
    /// Requests a second.
    pub requests_per_s: Option<u32>,
    /// Requests in progress.
    pub in_progress: Option<u32>,
    /// Prompt and generated tokens a second.
    pub tokens_per_s: Option<u32>,
}

pub(crate) fn with_ceilings(command: Command) -> Command {
    command
        .arg(flag(
            WEIGHT,
            "NUMBER",
            "Most weight of a customer in the fair queue (optional)",
        ))
        .arg(flag(
            REQUESTS,
            "NUMBER",
            "Most requests a second of a customer, at all entries together (optional)",
        ))
        .arg(flag(
            IN_PROGRESS,
            "NUMBER",
            "Most requests in progress of a customer, at all entries together (optional)",
        ))
        .arg(flag(
            TOKENS,
            "NUMBER",
            "Most tokens a second of a customer, at all entries together (optional)",
        ))
}

impl Ceilings {
    pub(crate) fn from_matches(matches: &ArgMatches) -> Result<Self, SettingsError> {
        Ok(Self {
            weight: count(matches, WEIGHT)?,
            requests_per_s: count(matches, REQUESTS)?,
            in_progress: count(matches, IN_PROGRESS)?,
            tokens_per_s: count(matches, TOKENS)?,
        })
    }
}

fn count(matches: &ArgMatches, flag: &'static str) -> Result<Option<u32>, SettingsError> {
    let Some(value) = optional_text(matches, flag) else {
        return Ok(None);
    };
    let bad = || SettingsError::InvalidValue(flag, value.to_owned(), COUNT);
    let number: u32 = value.parse().map_err(|_| bad())?;
    (number > 0).then_some(Some(number)).ok_or_else(bad)
}
