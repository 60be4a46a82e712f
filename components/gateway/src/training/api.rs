//! The training API of the public address: who may do what, and where it goes.

use std::sync::Arc;

use bytes::Bytes;
use config::{Service, ServiceKind};
use http::{Method, Response};
use node::now_ms;
use samples::StepKey;
use serde_json::to_vec;
use types::{Cause, Class, Failure, ServiceName};
use weights::{AnnounceOutcome, ModelKey};

use super::bodies::{InForce, StepBody, Version, parse};
use super::forward::to_home;
use super::inner::{HomeCall, OK, json_head};
use super::places::Place;
use crate::answer::response;
use crate::body::{Body, full};
use crate::gateway::Gateway;
use crate::paths::TrainingRoute;
use crate::rejection::Rejection;
use crate::request_body::RequestBody;
use crate::request_context::{RequestContext, require_kind};
use crate::weight_authority::{VersionAction, VersionRequest};

/// Time for a training call that states none, in milliseconds.
const DEADLINE_MS: u32 = 60_000;

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
    let _working = gateway.drain.admit(now_ms())?;
    let _place = place(&gateway, &context)?;
    let deadline_at_ms = context.deadline_at_ms(DEADLINE_MS);
    let bytes = context.body(body, deadline_at_ms).await?;
    let action = match route {
        TrainingRoute::Weights => VersionAction::Announce,
        TrainingRoute::Prepare => VersionAction::Prepare,
        TrainingRoute::Rollback => VersionAction::RollBack,
        TrainingRoute::Steps | TrainingRoute::Fetch { .. } => {
            let call = home_call(&context, &model, route, bytes, deadline_at_ms)?;
            let (head, body) = to_home(&gateway, call).await?;
            return response(&head, full(body));
        }
    };
    announce(&gateway, &context, &model, action, &bytes).await
}

/// Counts the call among its customer's requests, and keeps it among its training calls
/// in progress until the guard is dropped. It holds none of the customer's requests in
/// progress: a fetch waits for seconds and takes no endpoint's time.
fn place(gateway: &Gateway, context: &RequestContext) -> Result<Place, Rejection> {
    let customer = &context.session.holder.customer;
    let account = gateway.accounts.get(customer);
    // The configuration is newer than the last tick; the customer is there with the next.
    let account = account.ok_or(Failure::not_run(Cause::NoEndpoint))?;
    let place = account.training.take(rand::random())?;
    let entered = account
        .customer
        .admit(Class::Background, 0, now_ms(), rand::random());
    drop(entered?);
    Ok(place)
}

async fn announce(
    gateway: &Gateway,
    context: &RequestContext,
    model: &Service,
    action: VersionAction,
    bytes: &[u8],
) -> Result<Response<Body>, Rejection> {
    let version = parse::<Version>(bytes)?.get()?;
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
    let body = InForce {
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
