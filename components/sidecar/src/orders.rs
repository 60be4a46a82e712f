//! Sends one order to the engine and reports its outcome as far as the outcome is known.

use std::sync::Arc;

use adapters::PlatformError;
use node::now_ms;
use tokio::sync::mpsc;
use weights::{EngineState, ModelKey, Order, OrderKind, OrderOutcome};

use crate::agent::Agent;
use crate::health_check::HealthChecker;

const STATUS_CONFLICT: u16 = 409;
const STATUS_TOO_MANY: u16 = 429;
const STATUS_UNAVAILABLE: u16 = 503;

/// An order and its outcome.
pub(crate) struct FinishedOrder {
    pub(crate) model: ModelKey,
    pub(crate) order: Order,
    pub(crate) outcome: OrderOutcome,
}

/// Executes the order and sends its outcome to `finished`. An order whose latest start time has
/// passed is not sent to the engine.
pub(crate) async fn execute(
    agent: Arc<Agent>,
    checker: HealthChecker,
    model: ModelKey,
    order: Order,
    timeout_ms: u64,
    finished: mpsc::Sender<FinishedOrder>,
) {
    let outcome = if now_ms() > order.send_before_ms {
        // The process was suspended since the decision, whose basis may have changed meanwhile.
        OrderOutcome::Unknown
    } else {
        execute_now(&agent, &checker, &model, order, timeout_ms).await
    };
    if order.kind.is_change() {
        log::info!(
            event = "engine-order", customer:% = model.customer, model:% = model.service, order:? = order.kind,
            outcome:? = outcome; ""
        );
    }
    // The driver may have ended, and then nobody needs the outcome.
    let _ = finished
        .send(FinishedOrder {
            model,
            order,
            outcome,
        })
        .await;
}

async fn execute_now(
    agent: &Agent,
    checker: &HealthChecker,
    model: &ModelKey,
    order: Order,
    timeout_ms: u64,
) -> OrderOutcome {
    let name = agent.engine_names.name(&model.customer, &model.service);
    let name = name.as_str();
    let fence = order.fence;
    let done = match order.kind {
        // The calls of an earlier run of this agent lost their connections when it ended, which
        // makes the engine drop them; their ids are unknown to this run.
        OrderKind::CancelEarlier => return OrderOutcome::Done,
        OrderKind::Read => return read_state(checker, name).await,
        OrderKind::Load(version) => agent.engine.load(name, version, fence, timeout_ms).await,
        OrderKind::Switch(version) => agent.engine.switch(name, version, fence, timeout_ms).await,
    };
    done.map_or_else(|error| outcome_of(&error), |()| OrderOutcome::Done)
}

async fn read_state(checker: &HealthChecker, name: &str) -> OrderOutcome {
    let Some(state) = checker.read_engine_state().await else {
        return OrderOutcome::Unknown;
    };
    let model = state.models.iter().find(|model| model.model == name);
    OrderOutcome::State(EngineState {
        life: state.life,
        version: model.map(|model| model.version),
        loaded: model.map_or_else(Default::default, |model| {
            model.loaded.iter().copied().collect()
        }),
    })
}

fn outcome_of(error: &PlatformError) -> OrderOutcome {
    match *error {
        PlatformError::Refused {
            status: STATUS_CONFLICT,
            ..
        } => OrderOutcome::OldFence,
        PlatformError::Refused {
            status: STATUS_TOO_MANY | STATUS_UNAVAILABLE,
            retry_after_ms,
        } => OrderOutcome::StoreBusy {
            retry_after_ms: retry_after_ms.map(u64::from),
        },
        PlatformError::Refused { .. } => OrderOutcome::Failed,
        _ => OrderOutcome::Unknown,
    }
}
