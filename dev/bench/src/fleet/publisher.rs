//! Publishes configuration texts and waits until all processes have activated them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use adapters::{ClientSettings, LogClient};
use config::{Publish, RULES_NEWEST, Record};
use serde::Deserialize;
use tokio::time::sleep;
use types::CustomerName;

use crate::error::BenchError;
use crate::status;

const CONFIG_STREAM: &str = "config";
const ACTIVATION_TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Publishes texts to the log of a fleet. It must be the log's only publisher, because it counts
/// the versions of each customer itself instead of reading the log.
pub struct Publisher {
    log: LogClient,
    address: SocketAddr,
    versions: BTreeMap<String, u64>,
}

#[derive(Deserialize)]
struct StatusPage {
    config: Vec<ConfigRow>,
}

#[derive(Deserialize)]
struct ConfigRow {
    customer: String,
    version: u64,
}

impl Publisher {
    /// Creates a publisher for a log that has no configuration records yet.
    pub fn new(log: SocketAddr) -> Publisher {
        Publisher {
            log: LogClient::new(log, &ClientSettings::default()),
            address: log,
            versions: BTreeMap::new(),
        }
    }

    /// Checks a text and appends it to the log as the customer's next version.
    pub async fn publish(&mut self, customer: &str, text: &str) -> Result<(), BenchError> {
        config::parse(text, customer).map_err(BenchError::ConfigText)?;
        let base = self.versions.get(customer).copied().unwrap_or(0);
        let id = |version: u64| format!("{customer}-{version}");
        let name: Result<CustomerName, _> = customer.parse();
        let publish = Publish {
            customer: name.map_err(|_| BenchError::InvalidName(customer.to_owned()))?,
            base,
            base_id: (base > 0).then(|| id(base)),
            id: id(base + 1),
            rules: RULES_NEWEST,
            text: text.to_owned(),
        };
        let json = Record::Publish(publish).to_json();
        let json = json.map_err(|_| BenchError::InvalidName(customer.to_owned()))?;
        let appended = self.log.append(CONFIG_STREAM, &json).await;
        appended.map_err(|err| BenchError::NoAnswer(self.address, err))?;
        self.versions.insert(customer.to_owned(), base + 1);
        Ok(())
    }

    /// Waits until the last published version of every customer is active at these processes, and
    /// returns the time waited.
    pub async fn wait_until_active(&self, admins: &[SocketAddr]) -> Result<Duration, BenchError> {
        let started = Instant::now();
        for &admin in admins {
            loop {
                let outdated = self.outdated_customers(admin).await;
                if outdated == 0 {
                    break;
                }
                if started.elapsed() > ACTIVATION_TIMEOUT {
                    let all = self.versions.len();
                    let state =
                        format!("{outdated} of {all} configurations not yet active at {admin}");
                    return Err(BenchError::Timeout(
                        state,
                        ACTIVATION_TIMEOUT.as_millis() as u64,
                    ));
                }
                sleep(POLL_INTERVAL).await;
            }
        }
        Ok(started.elapsed())
    }

    /// Number of customers whose last version is not active at a process; the number of all
    /// customers if the process does not answer.
    async fn outdated_customers(&self, admin: SocketAddr) -> usize {
        let Ok(page) = status::get_json::<StatusPage>(admin, "/status").await else {
            return self.versions.len();
        };
        let rows = page.config.into_iter();
        let active: BTreeMap<String, u64> = rows.map(|row| (row.customer, row.version)).collect();
        let versions = self.versions.iter();
        let outdated =
            versions.filter(|(customer, version)| active.get(*customer) < Some(*version));
        outdated.count()
    }
}
