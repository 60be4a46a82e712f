//! An append on the path of a client, retried for a time.

use crate::clock::now_ms;
use crate::state::Front;
use crate::writer::WriteError;

/// How long the store is tried for before a client is refused, in milliseconds: another front
/// may reach it, and the client comes again at once.
const REFUSE_AFTER_MS: u64 = 1_200;
/// How long a record that may have landed is waited for, in milliseconds.
const UNSURE_AFTER_MS: u64 = 3_500;
/// Pause after an append that failed, in milliseconds.
const PAUSE_MS: u64 = 60;

/// Append in progress, and for whom.
pub struct PendingAppend<'a> {
    /// What it is, for the log.
    pub what: &'static str,
    /// The trainer's id of the step.
    pub id: &'a str,
    /// When the client came, on the process's clock.
    pub began_ms: u64,
    /// Whether the record means something as soon as it lands.
    pub binds: bool,
}

/// How the attempts ended.
pub enum Appended {
    /// The record stands at this offset.
    Done(u64),
    /// It was seen in the index, whoever wrote it.
    Seen,
    /// It does not stand and will not.
    NotDone,
    /// It may stand or land later.
    Unsure,
}

/// Appends until it is done, is seen, or has been tried for long enough. A record that may
/// have landed once is never reported as not done.
pub async fn until_settled<F>(
    front: &Front,
    pending: &PendingAppend<'_>,
    mut append: impl FnMut() -> F,
    is_seen: impl Fn() -> bool,
) -> Appended
where
    F: Future<Output = Result<u64, WriteError>>,
{
    let mut unsure = false;
    loop {
        match append().await {
            Ok(offset) => return Appended::Done(offset),
            Err(error) => {
                unsure |= pending.binds && !error.is_not_done();
                log::warn!(
                    event = "append-failed", what = pending.what, id = pending.id, unsure,
                    error:% = error; ""
                );
            }
        }
        if is_seen() {
            return Appended::Seen;
        }
        let waited_ms = now_ms() - pending.began_ms;
        match unsure {
            false if waited_ms > REFUSE_AFTER_MS => return Appended::NotDone,
            true if waited_ms > UNSURE_AFTER_MS => return Appended::Unsure,
            _ => front.storage.pause(PAUSE_MS).await,
        }
    }
}
