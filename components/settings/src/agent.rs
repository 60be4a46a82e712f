//! Settings of `hornbeamrock-agent`.

use std::net::SocketAddr;

use clap::{ArgMatches, Command};
use types::{CustomerName, PoolName};

use crate::SettingsError;
use crate::check::{address, choice, milliseconds, names};
use crate::common::{CommonSettings, flag, optional_name, with_common_flags};

const ENDPOINT_KIND_EXPECTED: &str = "model or plain";
const LOAD_WINDOW_EXPECTED: &str = "0 to 600000 milliseconds";
const LOAD_WINDOW_MS_MAX: u64 = 600_000;
const FENCING_EXPECTED: &str = "checked or ignored";
const CUSTOMERS_EXPECTED: &str =
    "names of a-z, 0-9 and '-' separated by commas, such as office,collective";
const POOL_EXPECTED: &str = "a name of a-z, 0-9 and '-'";

/// An agent needs no settle time: it notifies the entries immediately that it drains, and they send
/// the calls that it refuses to other agents.
const DEFAULT_SETTLE_MS: &str = "0";

/// Kind of the endpoint beside the agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointKind {
    /// An engine that serves a model and takes orders to load and switch weights.
    Model,
    /// A plain service, which takes no orders.
    Plain,
}

/// Whether the engine checks the fencing token of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fencing {
    /// The engine refuses an order whose fencing token is lower than one it has seen.
    Checked,
    /// The engine carries out every order.
    Ignored,
}

/// Validated settings of an agent.
#[derive(Clone, Debug)]
pub struct AgentSettings {
    /// Settings that an agent has in common with an entry.
    pub common: CommonSettings,
    /// Address of the endpoint beside the agent.
    pub endpoint: SocketAddr,
    /// Kind of that endpoint.
    pub endpoint_kind: EndpointKind,
    /// Pool that the endpoint belongs to. The endpoint hosts only services of this pool.
    pub pool: PoolName,
    /// Customers whose services this endpoint may host: sorted, without duplicates, at least one.
    /// A customer writes its own configuration and could name any pool there, so the settings of
    /// the endpoint's agent decide.
    pub customers: Vec<CustomerName>,
    /// Whether the engine checks fencing tokens.
    pub fencing: Fencing,
    /// Time over which the replicas of a model spread their preloads, that is the loads of a
    /// version that the trainer announces ahead of time.
    pub load_window_ms: u64,
}

/// Definition of the command line of an agent.
pub fn agent_command() -> Command {
    let command = Command::new("hornbeamrock-agent")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Runs beside one endpoint: accepts calls from entries and controls the endpoint")
        .arg(flag(
            "endpoint",
            "IP:PORT",
            "Address of the endpoint beside this agent",
        ))
        .arg(
            flag("endpoint-kind", "KIND", "Endpoint's kind: model or plain").default_value("model"),
        )
        .arg(flag("pool", "NAME", "Pool that the endpoint belongs to"))
        .arg(flag(
            "customers",
            "NAME,…",
            "Customers whose services the endpoint may host, separated by commas",
        ))
        .arg(
            flag(
                "fencing",
                "HOW",
                "Whether the engine checks fencing tokens: checked or ignored",
            )
            .default_value("ignored"),
        )
        .arg(
            flag(
                "load-window-ms",
                "MS",
                "Time over which replicas spread their loads of weights announced ahead of time",
            )
            .default_value("60000"),
        );
    with_common_flags(command, DEFAULT_SETTLE_MS)
}

impl AgentSettings {
    /// Reads and validates all settings.
    pub fn from_matches(matches: &ArgMatches) -> Result<Self, SettingsError> {
        let endpoint_kind = choice(matches, "endpoint-kind", ENDPOINT_KIND_EXPECTED, parse_kind)?;
        let fencing = choice(matches, "fencing", FENCING_EXPECTED, parse_fencing)?;
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
            pool: pool.ok_or(SettingsError::Missing("pool", POOL_EXPECTED))?,
            customers: customers(matches)?,
            fencing,
            load_window_ms: milliseconds(
                matches,
                "load-window-ms",
                0..=LOAD_WINDOW_MS_MAX,
                LOAD_WINDOW_EXPECTED,
            )?,
        })
    }
}

fn customers(matches: &ArgMatches) -> Result<Vec<CustomerName>, SettingsError> {
    let mut customers = names(matches, "customers", CUSTOMERS_EXPECTED)?;
    customers.sort();
    customers.dedup();
    if customers.is_empty() {
        return Err(SettingsError::Missing("customers", CUSTOMERS_EXPECTED));
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
