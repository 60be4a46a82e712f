//! Settings of `hornbeamrock-entry`.

use std::net::SocketAddr;

use clap::{ArgMatches, Command};

use crate::SettingsError;
use crate::ceilings::{Ceilings, with_ceilings};
use crate::check::address;
use crate::common::{CommonSettings, differ, flag, with_common};

/// The balancer looks at the readiness of an entry now and then.
const SETTLE_MS: &str = "3000";

/// Checked settings of an entry.
#[derive(Clone, Debug)]
pub struct EntrySettings {
    /// What entry and agent share.
    pub common: CommonSettings,
    /// Address for callers, trainers and operators, behind the balancer.
    pub listen: SocketAddr,
    /// Ceilings of customers' limits.
    pub ceilings: Ceilings,
}

/// The command line of an entry.
pub fn entry_command() -> Command {
    let command = Command::new("hornbeamrock-entry")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Takes requests behind the platform's balancer and sends each to an endpoint")
        .arg(flag(
            "listen",
            "IP:PORT",
            "Address for callers, trainers and operators",
        ));
    with_common(with_ceilings(command), SETTLE_MS)
}

impl EntrySettings {
    /// Checks all settings. The error names the flag, its value and what is allowed.
    pub fn from_matches(matches: &ArgMatches) -> Result<Self, SettingsError> {
        let common = CommonSettings::from_matches(matches)?;
        let listen = address(matches, "listen")?;
        differ(("listen", listen), ("inner-listen", common.inner_listen))?;
        differ(("listen", listen), ("admin-listen", common.admin_listen))?;
        Ok(Self {
            common,
            listen,
            ceilings: Ceilings::from_matches(matches)?,
        })
    }
}
