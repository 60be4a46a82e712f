//! Publishes texts and waits until they are in force.

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

const STREAM: &str = "config";
const WAIT: Duration = Duration::from_secs(30);
const POLL: Duration = Duration::from_millis(50);

/// The only publisher of a fleet; so it knows each customer's version.
pub struct Publisher {
    log: LogClient,
    address: SocketAddr,
    versions: BTreeMap<String, u64>,
}

#[derive(Deserialize)]
struct Page {
    config: Vec<Row>,
}

#[derive(Deserialize)]
struct Row {
    customer: String,
    version: u64,
}

impl Publisher {
    /// A publisher on an empty log.
    pub fn new(log: SocketAddr) -> Publisher {
        Publisher {
            log: LogClient::new(log, &ClientSettings::default()),
            address: log,
            versions: BTreeMap::new(),
        }
    }

    /// Publishes a text.
    pub async fn publish(&mut self, customer: &str, text: &str) -> Result<(), BenchError> {
        config::parse(text, customer).map_err(BenchError::Text)?;
        let base = self.versions.get(customer).copied().unwrap_or(0);
        let id = |version: u64| format!("{customer}-{version}");
        let name: Result<CustomerName, _> = customer.parse();
        let publish = Publish {
            customer: name.map_err(|_| BenchError::Name(customer.to_owned()))?,
            base,
            base_id: (base > 0).then(|| id(base)),
            id: id(base + 1),
            rules: RULES_NEWEST,
            text: text.to_owned(),
        };
        let json = Record::Publish(publish).to_json();
        let json = json.map_err(|_| BenchError::Name(customer.to_owned()))?;
        let appended = self.log.append(STREAM, &json).await;
        appended.map_err(|err| BenchError::NoAnswer(self.address, err))?;
        self.versions.insert(customer.to_owned(), base + 1);
        Ok(())
    }

    /// Waits until all published versions are in force at these processes.
    pub async fn in_force(&self, admins: &[SocketAddr]) -> Result<Duration, BenchError> {
        let began = Instant::now();
        for &admin in admins {
            loop {
                let behind = self.behind(admin).await;
                if behind == 0 {
                    break;
                }
                if began.elapsed() > WAIT {
                    let all = self.versions.len();
                    let what = format!("{behind} of {all} customers are not in force at {admin}");
                    return Err(BenchError::NotUp(what, WAIT.as_millis() as u64));
                }
                sleep(POLL).await;
            }
        }
        Ok(began.elapsed())
    }

    /// Customers whose last version is not in force at a process.
    async fn behind(&self, admin: SocketAddr) -> usize {
        let Ok(page) = status::json::<Page>(admin, "/status").await else {
            return self.versions.len();
        };
        let rows = page.config.into_iter();
        let seen: BTreeMap<String, u64> = rows.map(|row| (row.customer, row.version)).collect();
        let versions = self.versions.iter();
        let behind = versions.filter(|(customer, version)| seen.get(*customer) < Some(*version));
        behind.count()
    }
}
