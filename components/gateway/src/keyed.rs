//! Requests with an idempotency key: at most one of all submissions with the same key
//! runs, through whatever entries they come. Package `claims` decides; here are the tasks
//! that read and write the log and the path of such a request.

mod client;
mod reader;
mod relay;
mod replay;
mod room;
mod waiting_ends;
mod writer;

pub use client::{Claims, receive_record};
pub use relay::{KeyedRequest, serve};
pub use writer::is_inner_call;

use claims::{ClaimSettings, SettingsError};

/// How long a key is remembered, in milliseconds.
const KEY_LIFETIME_MS: u64 = 1_800_000;

/// The settings of claims. Errors when the log forgets a claim while its key still lives:
/// a repeat would then find no claim and run a second time.
pub fn settings(log_retention_ms: u64) -> Result<ClaimSettings, SettingsError> {
    let settings = ClaimSettings {
        key_lifetime_ms: KEY_LIFETIME_MS,
        ..ClaimSettings::default()
    };
    settings.check(log_retention_ms)?;
    Ok(settings)
}
