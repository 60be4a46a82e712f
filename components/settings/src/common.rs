//! Settings that entry and agent share.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use clap::{Arg, ArgAction, ArgMatches, Command};
use telemetry::LogLevel;
use types::{FailureDomain, Region};

use crate::check::{address, choice, milliseconds, optional_address, optional_text, required_text};
use crate::{SettingsError, SharedKey, read_keys};

/// Every environment variable is this and the flag in capitals.
pub const ENV_PREFIX: &str = "HORNBEAMROCK_";

const NAME: &str = "a name of a-z, 0-9 and '-'";
const KEY_FILE: &str = "a file of one or two lines of 64 hexadecimal digits";
const LOG_LEVEL: &str = "error, warn, info or debug";
const LEAVE: &str = "0 to 600000 milliseconds";
const DRAIN: &str = "1000 to 3600000 milliseconds";

const LEAVE_MS_MAX: u64 = 600_000;
const DRAIN_MS_MIN: u64 = 1_000;
const DRAIN_MS_MAX: u64 = 3_600_000;
/// Below this a version could be forgotten between two appends by slow processes.
const RETENTION_MS_MIN: u64 = 60_000;
const RETENTION_MS_MAX: u64 = 31 * 24 * 3_600_000;
const RETENTION: &str = "60000 to 2678400000 milliseconds";

/// The environment variable that stands for a flag.
pub(crate) fn variable(flag: &str) -> String {
    let capitals = flag.to_ascii_uppercase().replace('-', "_");
    format!("{ENV_PREFIX}{capitals}")
}

/// A flag with its environment variable. Values are kept as text and checked by
/// [`SettingsError`]'s own rules, so that every complaint has one form.
pub fn flag(name: &'static str, value_name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name(value_name)
        .env(variable(name))
        .action(ArgAction::Set)
        .help(help)
}

/// Settings that every process in front of or beside an endpoint has.
#[derive(Clone, Debug)]
pub struct CommonSettings {
    /// Address for the system's own processes, TCP and UDP.
    pub inner_listen: SocketAddr,
    /// Address for the balancer's checks and operators.
    pub admin_listen: SocketAddr,
    /// Address of the platform's log.
    pub log: SocketAddr,
    /// Address of the platform's VM list.
    pub vm_list: SocketAddr,
    /// Failure domain of this VM.
    pub failure_domain: FailureDomain,
    /// Region of this VM.
    pub region: Region,
    /// Shared keys; the first signs.
    pub keys: Vec<SharedKey>,
    /// Statsd listener.
    pub metrics: Option<SocketAddr>,
    /// Least severe level of log lines.
    pub log_level: LogLevel,
    /// How long new work is still taken after readiness has gone, in milliseconds.
    pub settle_ms: u64,
    /// How long work in progress may take to finish when leaving, in milliseconds.
    pub drain_ms: u64,
    /// How long the platform's log keeps a record, in milliseconds.
    pub log_retention_ms: u64,
}

/// Adds the common flags to a command. `settle_ms` is the default of that flag: an entry
/// covers the balancer's lag, an agent's callers ask again elsewhere when it refuses.
pub(crate) fn with_common(command: Command, settle_ms: &'static str) -> Command {
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
            "Shared keys: one or two lines of 64 hexadecimal digits, the first signs",
        ))
        .arg(flag("metrics", "IP:PORT", "Statsd listener (optional)"))
        .arg(flag("log-level", "LEVEL", "error, warn, info or debug").default_value("info"))
        .arg(
            flag(
                "settle-ms",
                "MS",
                "How long new work is taken after readiness has gone: the balancer's lag",
            )
            .default_value(settle_ms),
        )
        .arg(
            flag(
                "drain-ms",
                "MS",
                "How long work in progress may take to finish when leaving",
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
    /// Checks the common flags. The error names the flag, its value and what is allowed.
    pub(crate) fn from_matches(matches: &ArgMatches) -> Result<Self, SettingsError> {
        let inner_listen = address(matches, "inner-listen")?;
        let admin_listen = address(matches, "admin-listen")?;
        differ(
            ("inner-listen", inner_listen),
            ("admin-listen", admin_listen),
        )?;
        let key_file = PathBuf::from(required_text(matches, "key-file", KEY_FILE)?);
        Ok(Self {
            inner_listen,
            admin_listen,
            log: address(matches, "log")?,
            vm_list: address(matches, "vm-list")?,
            failure_domain: name(matches, "failure-domain")?,
            region: name(matches, "region")?,
            keys: read_keys(Path::new(&key_file))?,
            metrics: optional_address(matches, "metrics")?,
            log_level: choice(matches, "log-level", LOG_LEVEL, LogLevel::parse)?,
            settle_ms: milliseconds(matches, "settle-ms", 0..=LEAVE_MS_MAX, LEAVE)?,
            drain_ms: milliseconds(matches, "drain-ms", DRAIN_MS_MIN..=DRAIN_MS_MAX, DRAIN)?,
            log_retention_ms: milliseconds(
                matches,
                "log-retention-ms",
                RETENTION_MS_MIN..=RETENTION_MS_MAX,
                RETENTION,
            )?,
        })
    }
}

/// A checked name that must be set. Errors when it is missing or no name.
pub fn name<T: std::str::FromStr>(
    matches: &ArgMatches,
    flag: &'static str,
) -> Result<T, SettingsError> {
    let value = required_text(matches, flag, NAME)?;
    let bad = |_| SettingsError::InvalidValue(flag, value.to_owned(), NAME);
    value.parse().map_err(bad)
}

/// A checked name that need not be set. Errors when it is no name.
pub fn optional_name<T: std::str::FromStr>(
    matches: &ArgMatches,
    flag: &'static str,
) -> Result<Option<T>, SettingsError> {
    match optional_text(matches, flag) {
        Some(_) => name(matches, flag).map(Some),
        None => Ok(None),
    }
}

/// Errors when two listening addresses are the same.
pub(crate) fn differ(
    (flag, value): (&'static str, SocketAddr),
    (other, other_value): (&'static str, SocketAddr),
) -> Result<(), SettingsError> {
    if value == other_value && value.port() != 0 {
        let value = value.to_string();
        return Err(SettingsError::Conflict(
            flag,
            value,
            other,
            "each listens on its own port",
        ));
    }
    Ok(())
}
