//! Validation of the values of single flags.

use std::net::SocketAddr;
use std::ops::RangeInclusive;

use clap::ArgMatches;

use crate::SettingsError;

/// Allowed form of an address, as error messages state it.
const ADDRESS_EXPECTED: &str = "an IP address with a port, such as 127.0.0.1:7100";

/// Returns the text of a flag from the command line or the environment; `None` if it is not set.
pub fn optional_text<'a>(matches: &'a ArgMatches, flag: &'static str) -> Option<&'a str> {
    matches.get_one::<String>(flag).map(String::as_str)
}

/// Returns the text of a flag that must be set. Returns an error if it is not set; the message then
/// states the `expected` values.
pub fn required_text<'a>(
    matches: &'a ArgMatches,
    flag: &'static str,
    expected: &'static str,
) -> Result<&'a str, SettingsError> {
    optional_text(matches, flag).ok_or(SettingsError::Missing(flag, expected))
}

/// Parses the value of a flag as an IP address with a port; host names are not resolved. Returns an
/// error if the flag is not set or its value is malformed.
pub fn address(matches: &ArgMatches, flag: &'static str) -> Result<SocketAddr, SettingsError> {
    let value = required_text(matches, flag, ADDRESS_EXPECTED)?;
    parse_address(value, flag)
}

/// Parses the value of a flag as a comma-separated list of addresses; empty if the flag is not set.
/// Returns an error if an address is malformed.
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

/// Parses the value of a flag as a comma-separated list of names; empty if the flag is not set.
/// Returns an error if a name is invalid.
pub(crate) fn names<T: std::str::FromStr>(
    matches: &ArgMatches,
    flag: &'static str,
    expected: &'static str,
) -> Result<Vec<T>, SettingsError> {
    let values = optional_text(matches, flag).unwrap_or_default();
    let invalid = |_| SettingsError::InvalidValue(flag, values.to_owned(), expected);
    values
        .split(',')
        .map(str::trim)
        .filter(|value| !value.is_empty())
        .map(|value| value.parse().map_err(invalid))
        .collect()
}

/// Like [`address`], but returns `None` if the flag is not set.
pub(crate) fn optional_address(
    matches: &ArgMatches,
    flag: &'static str,
) -> Result<Option<SocketAddr>, SettingsError> {
    optional_text(matches, flag)
        .map(|value| parse_address(value, flag))
        .transpose()
}

fn parse_address(value: &str, flag: &'static str) -> Result<SocketAddr, SettingsError> {
    let invalid = || SettingsError::InvalidValue(flag, value.to_owned(), ADDRESS_EXPECTED);
    value.parse().map_err(|_| invalid())
}

/// Parses the value of a flag as a duration in milliseconds. Returns an error if the flag is not
/// set, or its value is not a number or out of `bounds`.
pub fn milliseconds(
    matches: &ArgMatches,
    flag: &'static str,
    bounds: RangeInclusive<u64>,
    expected: &'static str,
) -> Result<u64, SettingsError> {
    let value = required_text(matches, flag, expected)?;
    let invalid = || SettingsError::InvalidValue(flag, value.to_owned(), expected);
    let number: u64 = value.parse().map_err(|_| invalid())?;
    bounds
        .contains(&number)
        .then_some(number)
        .ok_or_else(invalid)
}

/// Parses the value of a flag that allows a few fixed texts. Returns an error if the flag is not
/// set or `parse` returns `None`.
pub fn choice<T>(
    matches: &ArgMatches,
    flag: &'static str,
    expected: &'static str,
    parse: impl FnOnce(&str) -> Option<T>,
) -> Result<T, SettingsError> {
    let value = required_text(matches, flag, expected)?;
    parse(value).ok_or_else(|| SettingsError::InvalidValue(flag, value.to_owned(), expected))
}
