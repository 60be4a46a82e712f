//! The configuration as the log tells it.

use std::sync::Arc;

use adapters::LogClient;
use config::{AcceptedVersion, Ledger, Record, Verdict};
use serde::Serialize;
use types::CustomerName;

use crate::ControlError;

/// The log's stream of configuration records.
pub(crate) const STREAM: &str = "config";
/// Records that one read takes at most.
const PAGE_RECORDS_MAX: usize = 500;

/// One publish in the log.
#[derive(Clone, Debug, Serialize)]
pub struct HistoryEntry {
    /// Its offset.
    pub offset: u64,
    /// The customer.
    pub customer: String,
    /// Its id.
    pub id: String,
    /// Version that it was made on.
    pub base: u64,
    /// What became of it.
    pub verdict: String,
    /// Version that it made.
    pub version: Option<u64>,
}

/// What a whole read of the log gives.
pub struct History {
    /// The reducer after the last record.
    pub ledger: Ledger,
    /// Publishes in the log's order.
    pub entries: Vec<HistoryEntry>,
    /// Accepted versions whose text the log still keeps.
    versions: Vec<Arc<AcceptedVersion>>,
}

/// Reads the stream from its oldest kept record to its end. Errors when the log does
/// not answer.
pub async fn read_history(log: &LogClient) -> Result<History, ControlError> {
    let mut history = History {
        ledger: Ledger::starting_at(0),
        entries: Vec::new(),
        versions: Vec::new(),
    };
    while read_page(log, &mut history, 0).await? > 0 {}
    Ok(history)
}

/// Reads on from where the history ends; gives the number of new records.
pub(crate) async fn read_page(
    log: &LogClient,
    history: &mut History,
    wait_ms: u64,
) -> Result<usize, ControlError> {
    let from = history.ledger.next_offset();
    let page = log
        .read(STREAM, from, PAGE_RECORDS_MAX, wait_ms)
        .await
        .map_err(ControlError::LogReadFailed)?;
    history.ledger.skip_to(page.first);
    for record in &page.records {
        let verdict = history.ledger.apply_json(record.offset, &record.data);
        let publish = Record::from_json(&record.data).ok().and_then(into_publish);
        if let Some(publish) = publish {
            history
                .entries
                .push(history_entry(record.offset, &publish, &verdict));
            history.add_version(&publish.customer);
        }
    }
    Ok(page.records.len())
}

fn into_publish(record: Record) -> Option<config::Publish> {
    match record {
        Record::Publish(publish) => Some(publish),
        _ => None,
    }
}

fn history_entry(offset: u64, publish: &config::Publish, verdict: &Verdict) -> HistoryEntry {
    let version = match verdict {
        Verdict::Accepted { version } => Some(*version),
        _ => None,
    };
    HistoryEntry {
        offset,
        customer: publish.customer.to_string(),
        id: publish.id.clone(),
        base: publish.base,
        verdict: describe_verdict(verdict),
        version,
    }
}

fn describe_verdict(verdict: &Verdict) -> String {
    match verdict {
        Verdict::Accepted { .. } => "accepted".to_owned(),
        Verdict::Refused(refusal) => {
            let text = refusal.to_string();
            let first = text.lines().next().unwrap_or_default();
            format!("refused: {first}")
        }
        Verdict::Undecided | Verdict::Covered => {
            "decided before this log's oldest record".to_owned()
        }
        Verdict::RulesTooNew { rules } => {
            format!("judged by rules {rules}, newer than this program")
        }
        Verdict::Unreadable(error) => format!("unreadable: {error}"),
        other => format!("{other:?}"),
    }
}

impl History {
    fn add_version(&mut self, customer: &CustomerName) {
        let Some(current) = self.ledger.current(customer) else {
            return;
        };
        if self.version(customer, current.version).is_none() {
            self.versions.push(Arc::clone(current));
        }
    }

    /// A version of a customer, current or earlier, as far as the log still keeps it.
    pub fn version(&self, customer: &CustomerName, version: u64) -> Option<&Arc<AcceptedVersion>> {
        let current = self.ledger.current(customer);
        self.versions
            .iter()
            .chain(current)
            .find(|accepted| accepted.customer == *customer && accepted.version == version)
    }

    /// Publishes of one customer, or of all.
    pub fn entries_of(
        &self,
        customer: Option<&CustomerName>,
    ) -> impl Iterator<Item = &HistoryEntry> {
        self.entries
            .iter()
            .filter(move |entry| customer.is_none_or(|name| entry.customer == name.as_str()))
    }
}
