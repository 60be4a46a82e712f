//! Settings that entries and agents have in common.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use clap::{Arg, ArgAction, ArgMatches, Command};
use telemetry::LogLevel;
use types::{FailureDomain, Region};

use crate::check::{address, choice, milliseconds, optional_address, optional_text, required_text};
use crate::{SettingsError, SharedKey, read_keys};

/// Prefix of all environment variables. The rest of a variable's name is the flag in capitals with
/// underscores.
pub const ENV_PREFIX: &str = "HORNBEAMROCK_";

const NAME_EXPECTED: &str = "a name of a-z, 0-9 and '-'";
const KEY_FILE_EXPECTED: &str = "a file of one or two lines of 64 hexadecimal digits";
const LOG_LEVEL_EXPECTED: &str = "error, warn, info or debug";
const SETTLE_EXPECTED: &str = "0 to 600000 milliseconds";
const DRAIN_EXPECTED: &str = "1000 to 3600000 milliseconds";

const SETTLE_MS_MAX: u64 = 600_000;
const DRAIN_MS_MIN: u64 = 1_000;
const DRAIN_MS_MAX: u64 = 3_600_000;
/// With a shorter retention, the log could remove an accepted version before slow processes append
/// it again.
const RETENTION_MS_MIN: u64 = 60_000;
const RETENTION_MS_MAX: u64 = 31 * 24 * 3_600_000;
const RETENTION_EXPECTED: &str = "60000 to 2678400000 milliseconds";

/// Name of the environment variable that sets a flag.
pub(crate) fn variable_name(flag: &str) -> String {
    let capitals = flag.to_ascii_uppercase().replace('-', "_");
    format!("{ENV_PREFIX}{capitals}")
}

/// Defines a flag and its environment variable. Clap keeps the value as text; the functions of this
/// package parse it, so that every invalid value is reported as a [`SettingsError`].
pub fn flag(name: &'static str, value_name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name(value_name)
        .env(variable_name(name))
        .action(ArgAction::Set)
        .help(help)
}

/// Validated settings that entries and agents have in common.
#[derive(Clone, Debug)]
pub struct CommonSettings {
    /// Address on which the process accepts traffic of the system's own processes, TCP and UDP.
    pub inner_listen: SocketAddr,
    /// Address on which the process answers the balancer's checks and operators.
    pub admin_listen: SocketAddr,
    /// Address of the platform's log.
    pub log: SocketAddr,
    /// Address of the platform's VM list.
    pub vm_list: SocketAddr,
    /// Failure domain of this VM.
    pub failure_domain: FailureDomain,
    /// Region of this VM.
    pub region: Region,
    /// Shared keys, at least one; the first signs.
    pub keys: Vec<SharedKey>,
    /// Address of the statsd listener; `None` sends no metrics.
    pub metrics: Option<SocketAddr>,
    /// Least severe level of the log lines that are written.
    pub log_level: LogLevel,
    /// Time for which a draining process still accepts new work after it reports that it is not
    /// ready.
    pub settle_ms: u64,
    /// Maximum time for work in progress to finish when the process drains.
    pub drain_ms: u64,
    /// Time for which the platform's log keeps a record.
    pub log_retention_ms: u64,
}

/// Adds the common flags to a command. `settle_ms` is the default of the flag `--settle-ms`. An
/// entry has to cover the time until the balancer notices that it drains; an agent does not,
/// because its callers retry refused calls at other agents.
pub(crate) fn with_common_flags(command: Command, settle_ms: &'static str) -> Command {
    command
        .arg(flag(
            "inner-listen",
            "IP:PORT",
            "Address for the system's own processes (TCP and UDP)",
        ))
        .arg(flag(
            "admin-listen",
            "IP:PORT",
            "Address for /livez, /readyz, /status and /drain",
        ))
        .arg(flag("log", "IP:PORT", "Address of the platform's log"))
        .arg(flag(
            "vm-list",
            "IP:PORT",
            "Address of the platform's list of VMs",
        ))
        .arg(flag("failure-domain", "NAME", "Failure domain of this VM"))
        .arg(flag("region", "NAME", "Region of this VM"))
        .arg(flag(
            "key-file",
            "FILE",
            "File with the shared keys: one or two lines of 64 hexadecimal digits, the first signs",
        ))
        .arg(flag(
            "metrics",
            "IP:PORT",
            "Address of the statsd listener (optional)",
        ))
        .arg(
            flag(
                "log-level",
                "LEVEL",
                "Least severe level that is logged: error, warn, info or debug",
            )
            .default_value("info"),
        )
        .arg(
            flag(
                "settle-ms",
                "MS",
                "How long new work is accepted after the process reports that it is not ready: \
                 the time that the balancer takes to notice",
            )
            .default_value(settle_ms),
        )
        .arg(
            flag(
                "drain-ms",
                "MS",
                "How long work in progress may take to finish when the process drains",
            )
            .default_value("600000"),
        )
        .arg(
            flag(
                "log-retention-ms",
                "MS",
                "How long the platform's log keeps a record",
            )
            .default_value("3600000"),
        )
}

impl CommonSettings {
    /// Reads and validates the common flags.
    pub(crate) fn from_matches(matches: &ArgMatches) -> Result<Self, SettingsError> {
        let inner_listen = address(matches, "inner-listen")?;
        let admin_listen = address(matches, "admin-listen")?;
        require_distinct(
            ("inner-listen", inner_listen),
            ("admin-listen", admin_listen),
        )?;
        let key_file = PathBuf::from(required_text(matches, "key-file", KEY_FILE_EXPECTED)?);
        Ok(Self {
            inner_listen,
            admin_listen,
            log: address(matches, "log")?,
            vm_list: address(matches, "vm-list")?,
            failure_domain: name(matches, "failure-domain")?,
            region: name(matches, "region")?,
            keys: read_keys(Path::new(&key_file))?,
            metrics: optional_address(matches, "metrics")?,
            log_level: choice(matches, "log-level", LOG_LEVEL_EXPECTED, LogLevel::parse)?,
            settle_ms: milliseconds(matches, "settle-ms", 0..=SETTLE_MS_MAX, SETTLE_EXPECTED)?,
            drain_ms: milliseconds(
                matches,
                "drain-ms",
                DRAIN_MS_MIN..=DRAIN_MS_MAX,
                DRAIN_EXPECTED,
            )?,
            log_retention_ms: milliseconds(
                matches,
                "log-retention-ms",
                RETENTION_MS_MIN..=RETENTION_MS_MAX,
                RETENTION_EXPECTED,
            )?,
        })
    }
}

/// Parses the value of a flag as a name. Returns an error if the flag is not set or the name is
/// invalid.
pub fn name<T: std::str::FromStr>(
    matches: &ArgMatches,
    flag: &'static str,
) -> Result<T, SettingsError> {
    let value = required_text(matches, flag, NAME_EXPECTED)?;
    let invalid = |_| SettingsError::InvalidValue(flag, value.to_owned(), NAME_EXPECTED);
    value.parse().map_err(invalid)
}

/// Like [`name`], but returns `None` if the flag is not set.
pub fn optional_name<T: std::str::FromStr>(
    matches: &ArgMatches,
    flag: &'static str,
) -> Result<Option<T>, SettingsError> {
    match optional_text(matches, flag) {
        Some(_) => name(matches, flag).map(Some),
        None => Ok(None),
    }
}

/// Returns an error if two listening addresses are the same, unless their port is 0: the operating
/// system then picks a free port for each.
pub(crate) fn require_distinct(
    (flag, value): (&'static str, SocketAddr),
    (other, other_value): (&'static str, SocketAddr),
) -> Result<(), SettingsError> {
    if value == other_value && value.port() != 0 {
        let value = value.to_string();
        return Err(SettingsError::Conflict(
            flag,
            value,
            other,
            "the two listeners need different ports",
        ));
    }
    Ok(())
}
