//! Appends that a client waits for, retried for a limited time.

use crate::clock::now_ms;
use crate::state::Front;
use crate::writer::WriteError;

/// How long appends are retried before the client is refused, in milliseconds. Short, because the
/// client retries at once and may get a front that reaches the store.
const REFUSE_AFTER_MS: u64 = 1_200;
/// How long appends are retried when an earlier attempt may have stored the record, in
/// milliseconds.
const UNKNOWN_AFTER_MS: u64 = 3_500;
/// Pause between attempts, in milliseconds.
const RETRY_PAUSE_MS: u64 = 60;

/// An append in progress.
pub struct PendingAppend<'a> {
    /// Kind of the record, for the log.
    pub what: &'static str,
    /// The trainer's id of the step.
    pub id: &'a str,
    /// When the client's request arrived, in milliseconds of [`now_ms`].
    pub began_ms: u64,
    /// Whether the record takes effect as soon as it is stored. Item data has no effect until the
    /// step's record refers to it.
    pub takes_effect: bool,
}

/// How the attempts ended.
pub enum AppendOutcome {
    /// The record is stored at this offset.
    Stored(u64),
    /// An equivalent record was read from the index; another front may have written it.
    FoundInIndex,
    /// The record is not stored and never will be.
    NotStored,
    /// The same; the store refuses its content.
    Refused,
    /// The record may be stored already, or may still be stored later.
    Unknown,
}

/// Retries an append until it succeeds, the record is seen in the index, or the time is over. If
/// any attempt may have stored a record that takes effect, the outcome is never
/// [`AppendOutcome::NotStored`].
pub async fn append_for_client<F>(
    front: &Front,
    pending: &PendingAppend<'_>,
    mut append: impl FnMut() -> F,
    is_seen: impl Fn() -> bool,
) -> AppendOutcome
where
    F: Future<Output = Result<u64, WriteError>>,
{
    let mut unsure = false;
    loop {
        let is_refused = match append().await {
            Ok(offset) => return AppendOutcome::Stored(offset),
            Err(error) => {
                unsure |= pending.takes_effect && !error.is_not_done();
                log::warn!(
                    event = "append-failed", what = pending.what, id = pending.id, unsure,
                    error:% = error; ""
                );
                error.is_refused_content()
            }
        };
        if is_seen() {
            return AppendOutcome::FoundInIndex;
        }
        if is_refused {
            return match unsure {
                true => AppendOutcome::Unknown,
                false => AppendOutcome::Refused,
            };
        }
        let waited_ms = now_ms() - pending.began_ms;
        match unsure {
            false if waited_ms > REFUSE_AFTER_MS => return AppendOutcome::NotStored,
            true if waited_ms > UNKNOWN_AFTER_MS => return AppendOutcome::Unknown,
            _ => front.storage.pause(RETRY_PAUSE_MS).await,
        }
    }
}
