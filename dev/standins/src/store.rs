//! The weight store: returns 1 KiB for each version, with an optional rate limit.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use derive::value;
use types::WeightVersion;

use crate::error::StandinError;
use crate::fault::FaultKind;
use crate::handle::{Control, Handle};
use crate::http::{self, Call};
use crate::rate::{RETRY_AFTER_S, RateLimiter};
use crate::reply::{self, Reply};

const WEIGHT_BYTES: usize = 1024;

/// Settings of the weight store.
#[value]
pub struct StoreSettings {
    /// Address to listen on; with port 0 the system chooses the port.
    pub listen: SocketAddr,
    /// Answers per second; 0 means no limit.
    pub per_s: u64,
}

impl StoreSettings {
    /// A store without a rate limit.
    pub fn new(listen: SocketAddr) -> StoreSettings {
        StoreSettings { listen, per_s: 0 }
    }
}

struct Store {
    control: Arc<Control>,
    per_s: u64,
    rate: RateLimiter,
}

/// Starts a weight store on `settings.listen`.
pub async fn start(settings: StoreSettings) -> Result<Handle, StandinError> {
    let control = Control::new();
    let store = Arc::new(Store {
        control: control.clone(),
        per_s: settings.per_s,
        rate: RateLimiter::new(),
    });
    http::serve(settings.listen, control, false, move |call| {
        std::future::ready(store.answer(&call))
    })
    .await
}

impl Store {
    fn answer(&self, call: &Call) -> Reply {
        let (method, parts) = call.route();
        let ("GET", ["weights", _model, version]) = (method, parts.as_slice()) else {
            return reply::error(404, "no-such-path");
        };
        if version.parse::<WeightVersion>().is_err() {
            return reply::error(400, "bad-version");
        }
        if !self.is_within_rate(&call.path) {
            return reply::error_with_retry_after(429, "rate", RETRY_AFTER_S);
        }
        reply::bytes(200, Bytes::from(vec![0; WEIGHT_BYTES]))
    }

    fn is_within_rate(&self, path: &str) -> bool {
        let fault = self.control.faults.trigger(FaultKind::StoreRate, path);
        let limit = match (fault, self.per_s) {
            (Some(fault), _) => fault.per_s,
            (None, 0) => return true,
            (None, per_s) => per_s,
        };
        self.rate.try_acquire(limit)
    }
}
