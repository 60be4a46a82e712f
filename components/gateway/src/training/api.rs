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
use crate::incoming::RequestBody;
use crate::intake::{Intake, need_kind};
use crate::rejection::Rejection;
use crate::target::TrainingRoute;
use crate::weight_news::{Announced, Want};

/// Deadline of a training call that does not state one.
const DEFAULT_DEADLINE_MS: u32 = 60_000;

/// Serves one call of the training API.
pub async fn serve<B>(
    gateway: Arc<Gateway>,
    intake: Intake,
    service: ServiceName,
    route: TrainingRoute,
    body: B,
) -> Result<Response<Body>, Rejection>
where
    B: RequestBody,
{
    if intake.parts.method != Method::POST {
        return Err(Rejection::Method("POST"));
    }
    let model = match route {
        TrainingRoute::Rollback => intake.session.operable(&service)?,
        _ => intake.session.trainable(&service)?,
    };
    need_kind(&model, ServiceKind::Model)?;
    let _work_guard = gateway.drain.admit(now_ms())?;
    let _call_guard = begin_call(&gateway, &intake)?;
    let deadline_at_ms = intake.deadline_at_ms(DEFAULT_DEADLINE_MS);
    let bytes = intake.body(body, deadline_at_ms).await?;
    let want = match route {
        TrainingRoute::Weights => Want::Announce,
        TrainingRoute::Prepare => Want::Prepare,
        TrainingRoute::Rollback => Want::RollBack,
        TrainingRoute::Steps | TrainingRoute::Fetch { .. } => {
            let call = home_call(&intake, &model, route, bytes, deadline_at_ms)?;
            let (head, body) = forward_to_home(&gateway, call).await?;
            return response(&head, full(body));
        }
    };
    announce(&gateway, &intake, &model, want, &bytes).await
}

/// Counts the call against its customer's request rate, and against the customer's training calls
/// in progress until the guard is dropped. It does not count as one of the customer's requests in
/// progress, because a fetch waits for seconds without using an endpoint.
fn begin_call(gateway: &Gateway, intake: &Intake) -> Result<TrainingCallGuard, Rejection> {
    let customer = &intake.session.holder.customer;
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
    intake: &Intake,
    model: &Service,
    want: Want,
    bytes: &[u8],
) -> Result<Response<Body>, Rejection> {
    let version = parse::<VersionBody>(bytes)?.version()?;
    let holder = &intake.session.holder;
    let key = ModelKey {
        customer: model.owner.clone(),
        service: model.name.clone(),
    };
    if want == Want::Prepare && !gateway.weights.targets().contains_key(&key) {
        return Err(Rejection::NothingInForce(model.name.clone()));
    }
    let announced = Announced {
        customer: holder.customer.clone(),
        role: holder.role,
        model: key,
        want,
        version,
    };
    let announcement = gateway.weights.announce(announced).await?;
    let (AnnounceOutcome::Changed(target) | AnnounceOutcome::Known(target)) = announcement;
    log::info!(
        event = "weights-announced", request_id = intake.request_id.as_str(),
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
    intake: &Intake,
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
        request_id: intake.request_id.clone(),
        key: StepKey {
            customer: model.owner.clone(),
            service: model.name.clone(),
            step,
        },
        route,
        path: intake.parts.uri.path().to_owned(),
        body,
        deadline_at_ms,
    })
}
