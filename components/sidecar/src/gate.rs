//! Decides whether a received call may go to the endpoint. Every refusal here means "not run",
//! because nothing has been sent to the endpoint yet.

use config::ServiceKind;
use protocol::Open;
use types::{Cause, Failure};

use crate::health::EndpointSnapshot;
use crate::hosting::{Hosting, LocalService};

/// Time after which a caller may retry when the endpoint is down or full, in milliseconds.
const RETRY_AFTER_MS: u32 = 200;

/// Method and path of the only call that callers may make to a model engine.
const COMPLETIONS: (&str, &str) = ("POST", "/v1/completions");

/// Returns the rest of the call's deadline, in milliseconds. The call was received `elapsed_ms` ago
/// and may have waited `age_ms` in a socket buffer before.
pub fn time_left_ms(open: &Open, elapsed_ms: u64, age_ms: u64) -> Result<u64, Failure> {
    let left_ms = u64::from(open.deadline_left_ms).saturating_sub(elapsed_ms + age_ms);
    if left_ms == 0 {
        return Err(Failure::not_run(Cause::DeadlinePassed));
    }
    Ok(left_ms)
}

/// Returns the hosted service of a call, or the failure of a call that the endpoint can't serve.
pub fn find_service<'a>(
    open: &Open,
    hosting: &'a Hosting,
    snapshot: &EndpointSnapshot,
) -> Result<&'a LocalService, Failure> {
    let hosted = hosting.find(&open.owner, &open.service);
    let local = hosted.ok_or(Failure::not_run(Cause::NotHosted))?;
    let is_model = local.service.kind == ServiceKind::Model;
    // The engine's control interface shares the port with the completions. A caller who could
    // reach it would switch the weights of all users of the engine or cancel their calls.
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

/// Failure of a call beyond the agent's limit of calls in progress.
pub fn queue_full() -> Failure {
    Failure::not_run(Cause::QueueFull).retry_after(RETRY_AFTER_MS)
}
