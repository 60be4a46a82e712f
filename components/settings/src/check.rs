//! Checks of single values.

use std::net::SocketAddr;
use std::ops::RangeInclusive;

use clap::ArgMatches;

use crate::SettingsError;

/// What an address may be.
const ADDRESS: &str = "an IP number with a port, such as 127.0.0.1:7100";

/// The text of a flag, from the command line or the environment.
pub fn optional_text<'a>(matches: &'a ArgMatches, flag: &'static str) -> Option<&'a str> {
    matches.get_one::<String>(flag).map(String::as_str)
}

/// The text of a flag that must be set. Errors when it is not.
pub fn required_text<'a>(
    matches: &'a ArgMatches,
    flag: &'static str,
    allowed: &'static str,
) -> Result<&'a str, SettingsError> {
    optional_text(matches, flag).ok_or(SettingsError::Missing(flag, allowed))
}

/// An address of IP number and port; names are not resolved. Errors when missing or not one.
pub fn address(matches: &ArgMatches, flag: &'static str) -> Result<SocketAddr, SettingsError> {
    let value = required_text(matches, flag, ADDRESS)?;
    parse_address(value, flag)
}

/// Addresses with commas between them; none when not set.
pub fn addresses(
    matches: &ArgMatches,
    flag: &'static str,
) -> Result<Vec<SocketAddr>, SettingsError> {
    let values = optional_text(matches, flag).unwrap_or_default().split(',');
    values
        .map(str::trim)
        .filter(|value| !value.is_empty())
        .map(|value| parse_address(value, flag))
        .collect()
}

/// Names with commas between them; none when not set. Errors when one is no name.
pub(crate) fn names<T: std::str::FromStr>(
    matches: &ArgMatches,
    flag: &'static str,
    allowed: &'static str,
) -> Result<Vec<T>, SettingsError> {
    let values = optional_text(matches, flag).unwrap_or_default();
    let bad = |_| SettingsError::InvalidValue(flag, values.to_owned(), allowed);
    values
        .split(',')
        .map(str::trim)
        .filter(|value| !value.is_empty())
        .map(|value| value.parse().map_err(bad))
        .collect()
}

/// An address that need not be set.
pub(crate) fn optional_address(
    matches: &ArgMatches,
    flag: &'static str,
) -> Result<Option<SocketAddr>, SettingsError> {
    optional_text(matches, flag)
        .map(|value| parse_address(value, flag))
        .transpose()
}

fn parse_address(value: &str, flag: &'static str) -> Result<SocketAddr, SettingsError> {
    let bad = || SettingsError::InvalidValue(flag, value.to_owned(), ADDRESS);
    value.parse().map_err(|_| bad())
}

/// A time in milliseconds within bounds. Errors when it is no number or outside.
pub fn milliseconds(
    matches: &ArgMatches,
    flag: &'static str,
    bounds: RangeInclusive<u64>,
    allowed: &'static str,
) -> Result<u64, SettingsError> {
    let value = required_text(matches, flag, allowed)?;
    let bad = || SettingsError::InvalidValue(flag, value.to_owned(), allowed);
    let number: u64 = value.parse().map_err(|_| bad())?;
    bounds.contains(&number).then_some(number).ok_or_else(bad)
}

/// A value that one of a few words names. Errors when no word fits.
pub fn choice<T>(
    matches: &ArgMatches,
    flag: &'static str,
    allowed: &'static str,
    parse: impl FnOnce(&str) -> Option<T>,
) -> Result<T, SettingsError> {
    let value = required_text(matches, flag, allowed)?;
    parse(value).ok_or_else(|| SettingsError::InvalidValue(flag, value.to_owned(), allowed))
}
