//! Orders over HTTP to load a version or to switch to a loaded one.

use std::sync::Arc;
use std::time::Duration;

use adapters::PlatformError;
use serde::{Deserialize, Deserializer};
use types::WeightVersion;

use super::orders::OrderOutcome;
use super::server::{Engine, SWITCH_PATH, sleep_or_yield};
use crate::fault::FaultKind;
use crate::http::Call;
use crate::reply::{self, Reply};

const STORE_RETRY_AFTER_S: u64 = 1;

#[derive(Deserialize)]
struct Order {
    model: String,
    #[serde(deserialize_with = "parse_version")]
    version: WeightVersion,
    fence: u64,
}

impl Engine {
    /// Handles an order. The order runs to its end and takes effect even if its sender
    /// disconnects.
    pub(super) async fn order(self: Arc<Self>, call: Call) -> Reply {
        let order: Order = match call.json() {
            Ok(order) => order,
            Err(refusal) => return *refusal,
        };
        let work = async move {
            let life = self.lock().life;
            let accepted = self.lock().models.accept(&order.model, order.fence);
            match accepted {
                OrderOutcome::Done if call.path == SWITCH_PATH => self.switch(&order, life).await,
                OrderOutcome::Done => self.load(&order, life).await,
                refused => to_reply(refused),
            }
        };
        let result = tokio::spawn(work).await;
        result.unwrap_or_else(|_| reply::error(500, "order-failed"))
    }

    async fn load(&self, order: &Order, life: u64) -> Reply {
        if self.lock().models.is_loaded(&order.model, order.version) {
            return reply::ok();
        }
        if let Some(refusal) = self.fetch(order).await {
            return refusal;
        }
        self.sleep_scaled(self.settings.speeds.load_ms).await;
        let mut state = self.lock();
        if state.life != life {
            return reply::error(500, "restarted");
        }
        to_reply(state.models.add_loaded(&order.model, order.version))
    }

    async fn fetch(&self, order: &Order) -> Option<Reply> {
        let store = self.store.as_ref()?;
        match store.fetch(&order.model, order.version).await {
            Ok(_) => None,
            Err(PlatformError::Refused { status: 429, .. }) => Some(reply::error_with_retry_after(
                503,
                "store-busy",
                STORE_RETRY_AFTER_S,
            )),
            Err(_) => Some(reply::error(503, "store-failed")),
        }
    }

    async fn switch(&self, order: &Order, life: u64) -> Reply {
        let fault = self
            .control
            .faults
            .trigger(FaultKind::SwapFails, SWITCH_PATH);
        self.sleep_scaled(self.settings.speeds.switch_ms).await;
        if fault.is_some() {
            return reply::error(500, "swap-failed");
        }
        let mut guard = self.lock();
        let state = &mut *guard;
        if state.life != life {
            return reply::error(500, "restarted");
        }
        let is_new = state.models.version(&order.model) != Some(order.version);
        let outcome = state.models.switch(&order.model, order.version);
        if outcome == OrderOutcome::Done && is_new {
            state.kv.evict_unused_prefixes();
        }
        to_reply(outcome)
    }

    async fn sleep_scaled(&self, ms: u64) {
        let duration = self.settings.speeds.scaled(Duration::from_millis(ms));
        sleep_or_yield(duration).await;
    }
}

fn to_reply(outcome: OrderOutcome) -> Reply {
    match outcome {
        OrderOutcome::Done => reply::ok(),
        OrderOutcome::UnknownModel => reply::error(404, "no-such-model"),
        OrderOutcome::OldFence => reply::error(409, "old-fence"),
        OrderOutcome::NotLoaded => reply::error(412, "not-loaded"),
    }
}

fn parse_version<'de, D: Deserializer<'de>>(from: D) -> Result<WeightVersion, D::Error> {
    let text = <std::borrow::Cow<'de, str>>::deserialize(from)?;
    text.parse().map_err(serde::de::Error::custom)
}
