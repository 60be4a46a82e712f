//! Carries one order to the engine and says how it ended, as far as that can be told.

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

/// An order that has ended.
pub(crate) struct FinishedOrder {
    pub(crate) model: ModelKey,
    pub(crate) order: Order,
    pub(crate) outcome: OrderOutcome,
}

/// Carries the order out, unless it is too late for it, and sends its end to `finished`.
pub(crate) async fn execute(
    agent: Arc<Agent>,
    checker: HealthChecker,
    model: ModelKey,
    order: Order,
    timeout_ms: u64,
    finished: mpsc::Sender<FinishedOrder>,
) {
    let outcome = if now_ms() > order.send_before_ms {
        // Frozen since the decision: what it rested on may be long over.
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
    // A driver that has gone needs no finished.
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
        // The calls of an earlier life of this agent had their connections cut with it,
        // by which the engine drops them; their names died with that life.
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
