//! Whether a call that has arrived may go to the endpoint. Every refusal here is "not
//! run", because nothing has left for the endpoint yet.

use config::ServiceKind;
use protocol::Open;
use types::{Cause, Failure};

use crate::health::EndpointSnapshot;
use crate::hosting::{Hosting, LocalService};

/// When a caller whose endpoint is down or full may come back, in milliseconds.
const RETRY_AFTER_MS: u32 = 200;

/// The one call that a model engine takes from callers.
const COMPLETIONS: (&str, &str) = ("POST", "/v1/completions");

/// Time that the caller still has, in milliseconds, after the call has been here for
/// `elapsed_ms` and may have waited `age_ms` in a socket buffer before.
pub fn time_left_ms(open: &Open, elapsed_ms: u64, age_ms: u64) -> Result<u64, Failure> {
    let left_ms = u64::from(open.deadline_left_ms).saturating_sub(elapsed_ms + age_ms);
    if left_ms == 0 {
        return Err(Failure::not_run(Cause::DeadlinePassed));
    }
    Ok(left_ms)
}

/// Where the service of the call is hosted, or why the endpoint can't take the call now.
pub fn find_service<'a>(
    open: &Open,
    hosting: &'a Hosting,
    snapshot: &EndpointSnapshot,
) -> Result<&'a LocalService, Failure> {
    let hosted = hosting.find(&open.owner, &open.service);
    let local = hosted.ok_or(Failure::not_run(Cause::NotHosted))?;
    let is_model = local.service.kind == ServiceKind::Model;
    // The orders to an engine lie on the same port. A caller that could reach them would
    // switch the weights of everybody who shares the engine, or cancel their calls.
    if is_model && (open.method.as_str(), path_without_query(open)) != COMPLETIONS {
        return Err(Failure::not_run(Cause::Forbidden));
    }
    if !snapshot.up {
        let down = Failure::not_run(Cause::EndpointLost);
        return Err(down.retry_after(RETRY_AFTER_MS));
    }
    if is_model && snapshot.model(&local.engine_model).is_none() {
        return Err(Failure::not_run(Cause::NotHosted));
    }
    Ok(local)
}

fn path_without_query(open: &Open) -> &str {
    open.path.split('?').next().unwrap_or(&open.path)
}

/// The refusal of a call beyond the agent's limit.
pub fn queue_full() -> Failure {
    Failure::not_run(Cause::QueueFull).retry_after(RETRY_AFTER_MS)
}
