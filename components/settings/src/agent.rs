//! Settings of `hornbeamrock-agent`.

use std::net::SocketAddr;

use clap::{ArgMatches, Command};
use types::{CustomerName, PoolName};

use crate::SettingsError;
use crate::check::{address, choice, milliseconds, names};
use crate::common::{CommonSettings, flag, optional_name, with_common};

const KIND: &str = "model or plain";
const LOAD_WINDOW: &str = "0 to 600000 milliseconds";
const LOAD_WINDOW_MS_MAX: u64 = 600_000;
const FENCING: &str = "checked or ignored";
const CUSTOMERS: &str = "names of a-z, 0-9 and '-' with commas between, such as office,collective";
const POOL: &str = "a name of a-z, 0-9 and '-'";

/// Entries are told at once that an agent leaves, and what it refuses goes elsewhere.
const SETTLE_MS: &str = "0";

/// What the endpoint beside the agent is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointKind {
    /// A model engine.
    Model,
    /// A plain service.
    Plain,
}

/// Whether the engine checks the fencing number of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fencing {
    /// It refuses an order with an old number.
    Checked,
    /// It takes every order.
    Ignored,
}

/// Checked settings of an agent.
#[derive(Clone, Debug)]
pub struct AgentSettings {
    /// What entry and agent share.
    pub common: CommonSettings,
    /// Address of the endpoint beside the agent.
    pub endpoint: SocketAddr,
    /// What the endpoint is.
    pub endpoint_kind: EndpointKind,
    /// Pool that the endpoint belongs to; services of that pool are hosted here.
    pub pool: PoolName,
    /// Customers whose services this endpoint may host, at least one, each once. A customer
    /// writes its own text and could name any pool there, so the endpoint's own settings
    /// decide.
    pub customers: Vec<CustomerName>,
    /// Whether the engine checks fencing numbers.
    pub fencing: Fencing,
    /// Time over which the replicas of a model spread their loads of a version that its
    /// trainer names ahead of time, in milliseconds.
    pub load_window_ms: u64,
}

/// The command line of an agent.
pub fn agent_command() -> Command {
    let command = Command::new("hornbeamrock-agent")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Stands beside one endpoint: takes calls from entries and drives the endpoint")
        .arg(flag(
            "endpoint",
            "IP:PORT",
            "Address of the endpoint beside this agent",
        ))
        .arg(flag("endpoint-kind", "KIND", "model or plain").default_value("model"))
        .arg(flag("pool", "NAME", "Pool that the endpoint belongs to"))
        .arg(flag(
            "customers",
            "NAME,…",
            "Customers whose services the endpoint may host, with commas between",
        ))
        .arg(
            flag(
                "fencing",
                "HOW",
                "Whether the engine checks fencing numbers: checked or ignored",
            )
            .default_value("ignored"),
        )
        .arg(
            flag(
                "load-window-ms",
                "MS",
                "Time over which replicas spread their loads of weights named ahead of time",
            )
            .default_value("60000"),
        );
    with_common(command, SETTLE_MS)
}

impl AgentSettings {
    /// Checks all settings. The error names the flag, its value and what is allowed.
    pub fn from_matches(matches: &ArgMatches) -> Result<Self, SettingsError> {
        let endpoint_kind = choice(matches, "endpoint-kind", KIND, parse_kind)?;
        let fencing = choice(matches, "fencing", FENCING, parse_fencing)?;
        if endpoint_kind == EndpointKind::Plain && fencing == Fencing::Checked {
            let value = "checked".to_owned();
            return Err(SettingsError::Conflict(
                "fencing",
                value,
                "endpoint-kind",
                "a plain service takes no orders",
            ));
        }
        let pool = optional_name(matches, "pool")?;
        Ok(Self {
            common: CommonSettings::from_matches(matches)?,
            endpoint: address(matches, "endpoint")?,
            endpoint_kind,
            pool: pool.ok_or(SettingsError::Missing("pool", POOL))?,
            customers: customers(matches)?,
            fencing,
            load_window_ms: milliseconds(
                matches,
                "load-window-ms",
                0..=LOAD_WINDOW_MS_MAX,
                LOAD_WINDOW,
            )?,
        })
    }
}

fn customers(matches: &ArgMatches) -> Result<Vec<CustomerName>, SettingsError> {
    let mut customers = names(matches, "customers", CUSTOMERS)?;
    customers.sort();
    customers.dedup();
    if customers.is_empty() {
        return Err(SettingsError::Missing("customers", CUSTOMERS));
    }
    Ok(customers)
}

fn parse_kind(text: &str) -> Option<EndpointKind> {
    match text {
        "model" => Some(EndpointKind::Model),
        "plain" => Some(EndpointKind::Plain),
        _ => None,
    }
}

fn parse_fencing(text: &str) -> Option<Fencing> {
    match text {
        "checked" => Some(Fencing::Checked),
        "ignored" => Some(Fencing::Ignored),
        _ => None,
    }
}
