//! Requests with an idempotency key. Of all submissions with the same key, at most one is run,
//! whichever entries receive them. The crate `claims` makes the decisions; this module has the
//! tasks that read and write the log, and the handling of such a request.

mod client;
mod end_waiters;
mod reader;
mod relay;
mod replay;
mod wait_limit;
mod writer;

pub use client::{Claims, receive_record};
pub use relay::{KeyedRequest, serve};
pub use writer::is_inner_call;

use claims::{ClaimSettings, SettingsError};

/// How long a key is remembered after its newest claim.
const KEY_LIFETIME_MS: u64 = 1_800_000;

/// Returns the settings of claims. Fails if the log could delete a claim before its key expires: a
/// repeated submission would then find no claim and run a second time.
pub fn settings(log_retention_ms: u64) -> Result<ClaimSettings, SettingsError> {
    let settings = ClaimSettings {
        key_lifetime_ms: KEY_LIFETIME_MS,
        ..ClaimSettings::default()
    };
    settings.check(log_retention_ms)?;
    Ok(settings)
}
