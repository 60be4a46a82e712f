//! Publishing a text: append, read the verdict back, follow it into force.
//!
//! The operator hears "accepted" only after the record was read back from the log. An
//! append whose answer was lost is made again with the same id, and readers count it
//! once. Whoever loses a race sees what the winner changed; nothing of the loser's text
//! is applied.

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

/// Appends of one publish at most, the first included.
const APPENDS_MAX: u32 = 5;
const APPEND_RETRY_DELAY: Duration = Duration::from_millis(300);
const READ_WAIT_MS: u64 = 500;
/// Reads after the append until the verdict must stand.
const READS_MAX: u32 = 20;
const STATUS_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// How to publish.
pub struct PublishSettings {
    /// Base version that the operator states; the current one if he states none.
    pub base: Option<u64>,
    /// Id of the publish; a random one if he states none.
    pub id: Option<String>,
}

/// An accepted publish.
#[derive(Clone, Debug, Serialize)]
pub struct Published {
    /// The customer.
    pub customer: CustomerName,
    /// The version that it made.
    pub version: u64,
    /// Its id.
    pub id: String,
}

/// Steps that an operator sees.
#[derive(Clone, Debug)]
pub enum PublishProgress {
    /// The append is made again, as its answer was lost.
    AppendRetried(u32),
    /// The record was read back.
    Accepted(u64),
    /// In force at so many of so many processes.
    Active(usize, usize),
}

/// Publishes a checked text on what `history` holds. Errors say whether anything is
/// applied.
pub async fn publish(
    log: &LogClient,
    history: &mut History,
    checked: &CheckedConfig,
    settings: &PublishSettings,
    mut progress: impl FnMut(PublishProgress),
) -> Result<Published, ControlError> {
    let customer = checked.config.customer.clone();
    let before = match settings.base {
        Some(base) => history.version(&customer, base).cloned(),
        None => history.ledger.current(&customer).cloned(),
    };
    let id = settings.id.clone().unwrap_or_else(random_id);
    let mut publish = Publish::based_on(customer.clone(), before.as_deref(), &id, &checked.source);
    // A stated base that the log has forgotten is still stated: the verdict tells the
    // operator what is current.
    publish.base = settings.base.unwrap_or(publish.base);
    append(log, &publish, &mut progress).await?;
    let verdict = read_verdict(log, history, &customer, &id).await?;
    let version = version_or_error(verdict, before.as_deref(), history, &customer, &id)?;
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

/// One lost answer among the tries is enough for doubt: that append may stand in the log.
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
        let unknown = |error| match error {
            ControlError::LogReadFailed(reason) => {
                ControlError::OutcomeUnknown(id.to_owned(), reason)
            }
            other => other,
        };
        read.map_err(unknown)?;
        if let Some(verdict) = history.ledger.verdict(customer, id) {
            return Ok(verdict.clone());
        }
    }
    Err(ControlError::Undecided(id.to_owned()))
}

fn version_or_error(
    verdict: Verdict,
    before: Option<&AcceptedVersion>,
    history: &History,
    customer: &CustomerName,
    id: &str,
) -> Result<u64, ControlError> {
    match verdict {
        Verdict::Accepted { version } => Ok(version),
        Verdict::Refused(refusal @ (Refusal::Outdated { .. } | Refusal::OtherBase { .. })) => {
            let winner = history.ledger.current(customer);
            let diff = race_diff(before, winner.map(AsRef::as_ref));
            Err(ControlError::LostRace(refusal, diff))
        }
        Verdict::Refused(refusal) => Err(ControlError::Refused(refusal)),
        _ => Err(ControlError::Undecided(id.to_owned())),
    }
}

fn race_diff(before: Option<&AcceptedVersion>, winner: Option<&AcceptedVersion>) -> String {
    let source = |accepted: Option<&AcceptedVersion>| {
        accepted.map_or(String::new(), |a| a.source.to_string())
    };
    let name = |accepted: Option<&AcceptedVersion>| {
        accepted.map_or("nothing".to_owned(), |a| format!("version {}", a.version))
    };
    line_diff(
        &source(before),
        &source(winner),
        &name(before),
        &name(winner),
    )
}

/// Waits until every process at these admin addresses shows the version. Errors with
/// those that don't after `wait_ms`.
pub async fn wait_until_active(
    processes: &[SocketAddr],
    published: &Published,
    wait_ms: u64,
    mut progress: impl FnMut(PublishProgress),
) -> Result<(), ControlError> {
    let end = Instant::now() + Duration::from_millis(wait_ms);
    let mut shown = usize::MAX;
    loop {
        let replies = statuses(processes).await;
        let behind: Vec<String> = replies
            .iter()
            .filter(|reply| !is_active(reply, &published.customer, published.version))
            .map(|reply| reply.address.to_string())
            .collect();
        let reached = processes.len() - behind.len();
        if reached != shown {
            progress(PublishProgress::Active(reached, processes.len()));
            shown = reached;
        }
        if behind.is_empty() {
            return Ok(());
        }
        if Instant::now() >= end {
            return Err(ControlError::NotActive(
                published.version,
                behind.join(", "),
            ));
        }
        sleep(STATUS_POLL_INTERVAL).await;
    }
}
