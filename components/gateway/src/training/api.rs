//! The training API at the public address: authorizes calls and forwards them to the step's home.

use std::sync::Arc;

use bytes::Bytes;
use config::{Service, ServiceKind};
use http::{Method, Response};
use node::now_ms;
use samples::StepKey;
use serde_json::to_vec;
use types::{Cause, Class, Failure, ServiceName};
use weights::{AnnounceOutcome, ModelKey};

use super::bodies::{ActiveVersionBody, StepBody, VersionBody, parse};
use super::forward::forward_to_home;
use super::inner::{HomeCall, OK, json_head};
use super::training_calls::TrainingCallGuard;
use crate::answer::response;
use crate::body::{Body, full};
use crate::gateway::Gateway;
use crate::paths::TrainingRoute;
use crate::rejection::Rejection;
use crate::request_body::RequestBody;
use crate::request_context::{RequestContext, require_kind};
use crate::weight_authority::{VersionAction, VersionRequest};

/// Deadline of a training call that does not state one.
const DEFAULT_DEADLINE_MS: u32 = 60_000;

/// Serves one call of the training API.
pub async fn serve<B>(
    gateway: Arc<Gateway>,
    context: RequestContext,
    service: ServiceName,
    route: TrainingRoute,
    body: B,
) -> Result<Response<Body>, Rejection>
where
    B: RequestBody,
{
    if context.parts.method != Method::POST {
        return Err(Rejection::Method("POST"));
    }
    let model = match route {
        TrainingRoute::Rollback => context.session.operable(&service)?,
        _ => context.session.trainable(&service)?,
    };
    require_kind(&model, ServiceKind::Model)?;
    let _work_guard = gateway.drain.admit(now_ms())?;
    let _call_guard = begin_call(&gateway, &context)?;
    let deadline_at_ms = context.deadline_at_ms(DEFAULT_DEADLINE_MS);
    let bytes = context.body(body, deadline_at_ms).await?;
    let action = match route {
        TrainingRoute::Weights => VersionAction::Announce,
        TrainingRoute::Prepare => VersionAction::Prepare,
        TrainingRoute::Rollback => VersionAction::RollBack,
        TrainingRoute::Steps | TrainingRoute::Fetch { .. } => {
            let call = home_call(&context, &model, route, bytes, deadline_at_ms)?;
            let (head, body) = forward_to_home(&gateway, call).await?;
            return response(&head, full(body));
        }
    };
    announce(&gateway, &context, &model, action, &bytes).await
}

/// Counts the call against its customer's request rate, and against the customer's training calls
/// in progress until the guard is dropped. It does not count as one of the customer's requests in
/// progress, because a fetch waits for seconds without using an endpoint.
fn begin_call(gateway: &Gateway, context: &RequestContext) -> Result<TrainingCallGuard, Rejection> {
    let customer = &context.session.holder.customer;
    let account = gateway.accounts.get(customer);
    // The configuration is newer than the last refresh of the accounts; the next refresh adds the
    // customer.
    let account = account.ok_or(Failure::not_run(Cause::NoEndpoint))?;
    let call_guard = account.training.begin(rand::random())?;
    let admitted = account
        .customer
        .admit(Class::Background, 0, now_ms(), rand::random());
    drop(admitted?);
    Ok(call_guard)
}

async fn announce(
    gateway: &Gateway,
    context: &RequestContext,
    model: &Service,
    action: VersionAction,
    bytes: &[u8],
) -> Result<Response<Body>, Rejection> {
    let version = parse::<VersionBody>(bytes)?.version()?;
    let holder = &context.session.holder;
    let key = ModelKey {
        customer: model.owner.clone(),
        service: model.name.clone(),
    };
    if action == VersionAction::Prepare && !gateway.weights.targets().contains_key(&key) {
        return Err(Rejection::NoActiveVersion(model.name.clone()));
    }
    let request = VersionRequest {
        customer: holder.customer.clone(),
        role: holder.role,
        model: key,
        action,
        version,
    };
    let announcement = gateway.weights.announce(request).await?;
    let (AnnounceOutcome::Changed(target) | AnnounceOutcome::Known(target)) = announcement;
    log::info!(
        event = "weights-announced", request_id = context.request_id.as_str(),
        customer = model.owner.as_str(), service = model.name.as_str(),
        version = target.serve.to_string(), load = target.load.to_string(); ""
    );
    let body = ActiveVersionBody {
        version: target.serve.to_string(),
        load: target.load.to_string(),
    };
    let internal = |_| Rejection::Call(Failure::not_run(Cause::Internal));
    let body = to_vec(&body).map_err(internal)?;
    response(&json_head(OK), full(body))
}

fn home_call(
    context: &RequestContext,
    model: &Service,
    route: TrainingRoute,
    body: Bytes,
    deadline_at_ms: u64,
) -> Result<HomeCall, Rejection> {
    let step = match route {
        TrainingRoute::Fetch { step } => step,
        _ => parse::<StepBody>(&body)?.step,
    };
    Ok(HomeCall {
        request_id: context.request_id.clone(),
        key: StepKey {
            customer: model.owner.clone(),
            service: model.name.clone(),
            step,
        },
        route,
        path: context.parts.uri.path().to_owned(),
        body,
        deadline_at_ms,
    })
}
