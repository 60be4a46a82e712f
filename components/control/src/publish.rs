//! Publishes a text: appends it to the log, reads the verdict back and waits until the version is
//! active.
//!
//! A publish counts as accepted only after its record was read back from the log. If the answer to
//! an append is lost, the append is repeated with the same id, and readers count it once. An
//! operator who loses a race gets the changes of the publish that came first; nothing of the losing
//! text is applied.

use std::net::SocketAddr;
use std::time::Duration;

use adapters::{LogClient, PlatformError};
use config::{AcceptedVersion, Publish, Record, Refusal, Verdict, line_diff};
use rand::RngExt;
use serde::Serialize;
use tokio::time::{Instant, sleep};
use types::CustomerName;

use crate::history::{History, STREAM, read_page};
use crate::{CheckedConfig, ControlError, is_active, statuses};

/// Maximum number of appends per publish, including the first one.
const APPENDS_MAX: u32 = 5;
const APPEND_RETRY_DELAY: Duration = Duration::from_millis(300);
const READ_WAIT_MS: u64 = 500;
/// Maximum number of reads after the append to find the verdict.
const READS_MAX: u32 = 20;
const STATUS_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Options of a publish.
pub struct PublishSettings {
    /// Base version stated by the operator; `None` for the current version.
    pub base: Option<u64>,
    /// Id of the publish; `None` for a random one.
    pub id: Option<String>,
}

/// An accepted publish.
#[derive(Clone, Debug, Serialize)]
pub struct Published {
    /// Customer whose text was published.
    pub customer: CustomerName,
    /// Version that the publish created.
    pub version: u64,
    /// Id of the publish.
    pub id: String,
}

/// Progress that is shown to the operator.
#[derive(Clone, Debug)]
pub enum PublishProgress {
    /// An append failed or its answer was lost, and it is repeated; holds the number of attempts so
    /// far.
    AppendRetried(u32),
    /// The publish was read back from the log and accepted as this version.
    Accepted(u64),
    /// The version is active at the first number of processes, of the second number in all.
    Active(usize, usize),
}

/// Publishes a checked text based on the state of `history`. Errors state whether anything was
/// applied.
pub async fn publish(
    log: &LogClient,
    history: &mut History,
    checked: &CheckedConfig,
    settings: &PublishSettings,
    mut progress: impl FnMut(PublishProgress),
) -> Result<Published, ControlError> {
    let customer = checked.config.customer.clone();
    let base = match settings.base {
        Some(base) => history.version(&customer, base).cloned(),
        None => history.ledger.current(&customer).cloned(),
    };
    let id = settings.id.clone().unwrap_or_else(random_id);
    let mut publish = Publish::based_on(customer.clone(), base.as_deref(), &id, &checked.source);
    // A stated base is sent even if the log no longer has its text; the verdict then tells the
    // operator which version is current.
    publish.base = settings.base.unwrap_or(publish.base);
    append(log, &publish, &mut progress).await?;
    let verdict = read_verdict(log, history, &customer, &id).await?;
    let version = version_or_error(verdict, base.as_deref(), history, &customer, &id)?;
    progress(PublishProgress::Accepted(version));
    Ok(Published {
        customer,
        version,
        id,
    })
}

fn random_id() -> String {
    format!("{:032x}", rand::rng().random::<u128>())
}

async fn append(
    log: &LogClient,
    publish: &Publish,
    progress: &mut impl FnMut(PublishProgress),
) -> Result<(), ControlError> {
    let record = Record::Publish(publish.clone());
    let json = record.to_json().map_err(ControlError::InvalidRecord)?;
    let mut maybe_appended = false;
    let mut attempt = 1;
    loop {
        let Err(error) = log.append(STREAM, &json).await else {
            return Ok(());
        };
        maybe_appended |= error.may_have_taken_effect();
        if attempt == APPENDS_MAX {
            return Err(append_error(&publish.id, maybe_appended, error));
        }
        progress(PublishProgress::AppendRetried(attempt));
        attempt += 1;
        sleep(APPEND_RETRY_DELAY).await;
    }
}

/// The error after the last attempt. If any attempt may have taken effect, its record may be in the
/// log, so the outcome is unknown.
fn append_error(id: &str, maybe_appended: bool, last: PlatformError) -> ControlError {
    match maybe_appended {
        true => ControlError::OutcomeUnknown(id.to_owned(), last),
        false => ControlError::NotAppended(last),
    }
}

async fn read_verdict(
    log: &LogClient,
    history: &mut History,
    customer: &CustomerName,
    id: &str,
) -> Result<Verdict, ControlError> {
    for _ in 0..READS_MAX {
        let read = read_page(log, history, READ_WAIT_MS).await;
        let outcome_unknown = |error| match error {
            ControlError::LogReadFailed(reason) => {
                ControlError::OutcomeUnknown(id.to_owned(), reason)
            }
            other => other,
        };
        read.map_err(outcome_unknown)?;
        if let Some(verdict) = history.ledger.verdict(customer, id) {
            return Ok(verdict.clone());
        }
    }
    Err(ControlError::Undecided(id.to_owned()))
}

fn version_or_error(
    verdict: Verdict,
    base: Option<&AcceptedVersion>,
    history: &History,
    customer: &CustomerName,
    id: &str,
) -> Result<u64, ControlError> {
    match verdict {
        Verdict::Accepted { version } => Ok(version),
        Verdict::Refused(refusal @ (Refusal::Outdated { .. } | Refusal::OtherBase { .. })) => {
            let current = history.ledger.current(customer);
            let diff = race_diff(base, current.map(AsRef::as_ref));
            Err(ControlError::LostRace(refusal, diff))
        }
        Verdict::Refused(refusal) => Err(ControlError::Refused(refusal)),
        _ => Err(ControlError::Undecided(id.to_owned())),
    }
}

fn race_diff(base: Option<&AcceptedVersion>, current: Option<&AcceptedVersion>) -> String {
    let source = |accepted: Option<&AcceptedVersion>| {
        accepted.map_or(String::new(), |a| a.source.to_string())
    };
    let name = |accepted: Option<&AcceptedVersion>| {
        accepted.map_or("nothing".to_owned(), |a| format!("version {}", a.version))
    };
    line_diff(&source(base), &source(current), &name(base), &name(current))
}

/// Waits until the version is active at every process at these admin addresses. Fails after
/// `wait_ms` with the processes where it is not.
pub async fn wait_until_active(
    processes: &[SocketAddr],
    published: &Published,
    wait_ms: u64,
    mut progress: impl FnMut(PublishProgress),
) -> Result<(), ControlError> {
    let end = Instant::now() + Duration::from_millis(wait_ms);
    let mut reported = usize::MAX;
    loop {
        let replies = statuses(processes).await;
        let inactive: Vec<String> = replies
            .iter()
            .filter(|reply| !is_active(reply, &published.customer, published.version))
            .map(|reply| reply.address.to_string())
            .collect();
        let active_count = processes.len() - inactive.len();
        if active_count != reported {
            progress(PublishProgress::Active(active_count, processes.len()));
            reported = active_count;
        }
        if inactive.is_empty() {
            return Ok(());
        }
        if Instant::now() >= end {
            return Err(ControlError::NotActive(
                published.version,
                inactive.join(", "),
            ));
        }
        sleep(STATUS_POLL_INTERVAL).await;
    }
}
