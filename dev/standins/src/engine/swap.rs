//! Orders to load and switch versions, as HTTP carries them.

use std::sync::Arc;
use std::time::Duration;

use adapters::PlatformError;
use serde::{Deserialize, Deserializer};
use types::WeightVersion;

use super::orders::Verdict;
use super::server::{Engine, SWITCH, pause};
use crate::fault::FaultKind;
use crate::http::Call;
use crate::reply::{self, Reply};

const STORE_RETRY_AFTER_S: u64 = 1;

#[derive(Deserialize)]
struct Order {
    model: String,
    #[serde(deserialize_with = "version")]
    version: WeightVersion,
    fence: u64,
}

impl Engine {
    /// Runs to its end though its sender may have given up: an order that nobody waits
    /// for any more still takes effect.
    pub(super) async fn order(self: Arc<Self>, call: Call) -> Reply {
        let order: Order = match call.json() {
            Ok(order) => order,
            Err(refusal) => return *refusal,
        };
        let work = async move {
            let life = self.lock().life;
            let accepted = self.lock().models.accept(&order.model, order.fence);
            match accepted {
                Verdict::Done if call.path == SWITCH => self.switch(&order, life).await,
                Verdict::Done => self.load(&order, life).await,
                refused => verdict(refused),
            }
        };
        let ended = tokio::spawn(work).await;
        ended.unwrap_or_else(|_| reply::error(500, "order-failed"))
    }

    async fn load(&self, order: &Order, life: u64) -> Reply {
        if self.lock().models.has(&order.model, order.version) {
            return reply::done();
        }
        if let Some(refusal) = self.fetch(order).await {
            return refusal;
        }
        self.take(self.settings.speeds.load_ms).await;
        let mut inner = self.lock();
        if inner.life != life {
            return reply::error(500, "restarted");
        }
        verdict(inner.models.loaded(&order.model, order.version))
    }

    async fn fetch(&self, order: &Order) -> Option<Reply> {
        let store = self.store.as_ref()?;
        match store.fetch(&order.model, order.version).await {
            Ok(_) => None,
            Err(PlatformError::Refused { status: 429, .. }) => {
                Some(reply::come_back(503, "store-busy", STORE_RETRY_AFTER_S))
            }
            Err(_) => Some(reply::error(503, "store-failed")),
        }
    }

    async fn switch(&self, order: &Order, life: u64) -> Reply {
        let fails = self.control.faults.hit(FaultKind::SwapFails, SWITCH);
        self.take(self.settings.speeds.switch_ms).await;
        if fails.is_some() {
            return reply::error(500, "swap-failed");
        }
        let mut guard = self.lock();
        let inner = &mut *guard;
        if inner.life != life {
            return reply::error(500, "restarted");
        }
        let changes = inner.models.version(&order.model) != Some(order.version);
        let done = inner.models.switch(&order.model, order.version);
        if done == Verdict::Done && changes {
            inner.kv.forget_prefixes();
        }
        verdict(done)
    }

    async fn take(&self, ms: u64) {
        let time = self.settings.speeds.scaled(Duration::from_millis(ms));
        pause(time).await;
    }
}

fn verdict(verdict: Verdict) -> Reply {
    match verdict {
        Verdict::Done => reply::done(),
        Verdict::UnknownModel => reply::error(404, "no-such-model"),
        Verdict::OldFence => reply::error(409, "old-fence"),
        Verdict::NotLoaded => reply::error(412, "not-loaded"),
    }
}

fn version<'de, D: Deserializer<'de>>(from: D) -> Result<WeightVersion, D::Error> {
    let text = <std::borrow::Cow<'de, str>>::deserialize(from)?;
    text.parse().map_err(serde::de::Error::custom)
}
