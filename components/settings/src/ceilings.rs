//! Ceilings: upper bounds of the limits and the weight that customers configure for themselves.
//!
//! A customer writes its limits and its weight into its own configuration. The operator of the
//! platform bounds them with these flags, which a customer cannot change. A ceiling is the same for
//! all customers: a ceiling per customer would need a file that is identical on every VM while
//! customers are added and removed.

use clap::{ArgMatches, Command};

use crate::SettingsError;
use crate::check::optional_text;
use crate::common::flag;

const WEIGHT_FLAG: &str = "customer-weight-max";
const REQUESTS_FLAG: &str = "customer-requests-per-s-max";
const IN_PROGRESS_FLAG: &str = "customer-in-progress-max";
const TOKENS_FLAG: &str = "customer-tokens-per-s-max";

const COUNT_EXPECTED: &str = "1 to 4294967295";

/// Upper bounds that apply to every customer, whatever its configuration says; `None` means no
/// bound.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Ceilings {
    /// Weight of the customer in the fair queue.
    pub weight: Option<u32>,
    /// Requests per second, at all entries together.
    pub requests_per_s: Option<u32>,
    /// Requests in progress, at all entries together.
    pub in_progress: Option<u32>,
    /// Prompt and generated tokens per second, at all entries together.
    pub tokens_per_s: Option<u32>,
}

pub(crate) fn with_ceiling_flags(command: Command) -> Command {
    command
        .arg(flag(
            WEIGHT_FLAG,
            "NUMBER",
            "Maximum weight of a customer in the fair queue (optional)",
        ))
        .arg(flag(
            REQUESTS_FLAG,
            "NUMBER",
            "Maximum requests per second of a customer, at all entries together (optional)",
        ))
        .arg(flag(
            IN_PROGRESS_FLAG,
            "NUMBER",
            "Maximum requests in progress of a customer, at all entries together (optional)",
        ))
        .arg(flag(
            TOKENS_FLAG,
            "NUMBER",
            "Maximum tokens per second of a customer, at all entries together (optional)",
        ))
}

impl Ceilings {
    pub(crate) fn from_matches(matches: &ArgMatches) -> Result<Self, SettingsError> {
        Ok(Self {
            weight: count(matches, WEIGHT_FLAG)?,
            requests_per_s: count(matches, REQUESTS_FLAG)?,
            in_progress: count(matches, IN_PROGRESS_FLAG)?,
            tokens_per_s: count(matches, TOKENS_FLAG)?,
        })
    }
}

fn count(matches: &ArgMatches, flag: &'static str) -> Result<Option<u32>, SettingsError> {
    let Some(value) = optional_text(matches, flag) else {
        return Ok(None);
    };
    let invalid = || SettingsError::InvalidValue(flag, value.to_owned(), COUNT_EXPECTED);
    let number: u32 = value.parse().map_err(|_| invalid())?;
    (number > 0).then_some(Some(number)).ok_or_else(invalid)
}
