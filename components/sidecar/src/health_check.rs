//! Checks the endpoint's health: periodically, at once when a call has lost its connection, and
//! when an order needs the engine's state. A single task makes all checks, so that snapshots are
//! published in the order of the checks.

use std::sync::Arc;
use std::time::Duration;

use adapters::{EngineState, PlatformError, Request};
use config::ServiceKind;
use node::now_ms;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{MissedTickBehavior, interval};

use crate::agent::Agent;
use crate::health::EndpointSnapshot;
use crate::health_state::{CheckResult, HealthState};

/// Time between two periodic checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Requests for a check that may be queued.
const PENDING_CHECKS_MAX: usize = 64;
/// Path of a plain service's health check.
const HEALTH_PATH: &str = "/healthz";
/// From this status on, a plain service counts as unhealthy.
const SERVER_ERROR_STATUS_MIN: u16 = 500;

type CheckRequest = oneshot::Sender<Option<EngineState>>;

/// Handle that requests health checks from the task.
#[derive(Clone)]
pub struct HealthChecker {
    requests: mpsc::Sender<CheckRequest>,
}

impl HealthChecker {
    /// Starts the task that checks the endpoint.
    pub fn start(agent: Arc<Agent>) -> HealthChecker {
        let (requests, requested) = mpsc::channel(PENDING_CHECKS_MAX);
        tokio::spawn(run_checks(agent, requested));
        HealthChecker { requests }
    }

    /// Checks the endpoint now and returns the engine's state, or `None` if the check failed.
    pub async fn read_engine_state(&self) -> Option<EngineState> {
        let (request, answer) = oneshot::channel();
        self.requests.send(request).await.ok()?;
        answer.await.ok().flatten()
    }
}

async fn run_checks(agent: Arc<Agent>, mut requested: mpsc::Receiver<CheckRequest>) {
    let mut health_state = HealthState::default();
    let mut ticks = interval(CHECK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        let request = tokio::select! {
            _ = ticks.tick() => None,
            () = agent.health.check_requested() => None,
            request = requested.recv() => match request {
                Some(request) => Some(request),
                None => return,
            },
        };
        let read = check(&agent, &mut health_state).await;
        if let Some(request) = request {
            // The requester may have stopped waiting.
            let _ = request.send(read);
        }
    }
}

/// Makes one check. Returns the engine's state only if this check has read it.
async fn check(agent: &Agent, health_state: &mut HealthState) -> Option<EngineState> {
    let before = agent.health.snapshot();
    let (result, mut snapshot) = match agent.hosting_rules.kind {
        ServiceKind::Model => check_engine(agent, &before).await,
        ServiceKind::Plain => check_plain(agent).await,
    };
    let change = health_state.record(result);
    snapshot.up = health_state.is_up();
    let engine_changed = before.engine != snapshot.engine;
    let answered = matches!(result, CheckResult::Answered { .. });
    let read = snapshot.engine.clone().filter(|_| answered);
    agent.health.publish(snapshot);
    if change.crashed {
        agent.health.begin_next_life();
        log::warn!(event = "endpoint-lost", life = agent.health.life(); "");
    }
    if change.up_changed {
        log::info!(event = "endpoint-turned", up = health_state.is_up(); "");
    }
    if change.crashed || change.up_changed || engine_changed {
        agent.health.notify_change();
    }
    read
}

async fn check_engine(agent: &Agent, before: &EndpointSnapshot) -> (CheckResult, EndpointSnapshot) {
    let state = match agent.engine.state().await {
        Ok(state) => state,
        Err(error) => return (CheckResult::from_error(&error), before.clone()),
    };
    let mut snapshot = before.clone();
    // The load report only guides the choice of a replica, so an outdated one is acceptable.
    if let Ok(load) = agent.engine.load_report().await {
        snapshot.load = load;
        snapshot.load_read_ms = now_ms();
    }
    let life = Some(state.life);
    snapshot.engine = Some(state);
    (CheckResult::Answered { life }, snapshot)
}

async fn check_plain(agent: &Agent) -> (CheckResult, EndpointSnapshot) {
    let request = Request::new("GET", HEALTH_PATH);
    let sent = agent
        .endpoint
        .send(request, agent.limits.engine_deadline_ms)
        .await;
    let result = match sent {
        Ok(response) if response.head.status < SERVER_ERROR_STATUS_MIN => {
            read_health_body(response.body).await
        }
        Ok(_) => CheckResult::NoAnswer,
        Err(error) => CheckResult::from_error(&error),
    };
    let snapshot = EndpointSnapshot {
        load_read_ms: now_ms(),
        ..EndpointSnapshot::default()
    };
    (result, snapshot)
}

async fn read_health_body(body: adapters::Body) -> CheckResult {
    // Reading the body to its end makes the connection reusable.
    match body.read_to_end().await {
        Ok(_) | Err(PlatformError::TooLarge(_)) => CheckResult::Answered { life: None },
        Err(_) => CheckResult::NoAnswer,
    }
}
