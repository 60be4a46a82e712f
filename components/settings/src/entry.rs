//! Settings of `hornbeamrock-entry`.

use std::net::SocketAddr;

use clap::{ArgMatches, Command};

use crate::SettingsError;
use crate::ceilings::{Ceilings, with_ceiling_flags};
use crate::check::address;
use crate::common::{CommonSettings, flag, require_distinct, with_common_flags};

/// The balancer polls the readiness of an entry, so a draining entry has to accept requests until
/// the balancer has noticed.
const DEFAULT_SETTLE_MS: &str = "3000";

/// Validated settings of an entry.
#[derive(Clone, Debug)]
pub struct EntrySettings {
    /// Settings that an entry has in common with an agent.
    pub common: CommonSettings,
    /// Address on which the entry accepts requests of callers, trainers and operators, which the
    /// balancer forwards.
    pub listen: SocketAddr,
    /// Upper bounds of the limits that customers configure.
    pub ceilings: Ceilings,
}

/// Definition of the command line of an entry.
pub fn entry_command() -> Command {
    let command = Command::new("hornbeamrock-entry")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Accepts requests from the platform's balancer and sends each to an endpoint")
        .arg(flag(
            "listen",
            "IP:PORT",
            "Address for callers, trainers and operators",
        ));
    with_common_flags(with_ceiling_flags(command), DEFAULT_SETTLE_MS)
}

impl EntrySettings {
    /// Reads and validates all settings.
    pub fn from_matches(matches: &ArgMatches) -> Result<Self, SettingsError> {
        let common = CommonSettings::from_matches(matches)?;
        let listen = address(matches, "listen")?;
        require_distinct(("listen", listen), ("inner-listen", common.inner_listen))?;
        require_distinct(("listen", listen), ("admin-listen", common.admin_listen))?;
        Ok(Self {
            common,
            listen,
            ceilings: Ceilings::from_matches(matches)?,
        })
    }
}
