//! The weight store: gives a few bytes for each version, so many times a second.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use derive::value;
use types::WeightVersion;

use crate::error::StandinError;
use crate::fault::FaultKind;
use crate::handle::{Control, Handle};
use crate::http::{self, Call};
use crate::rate::{RETRY_AFTER_S, Rate};
use crate::reply::{self, Reply};

const WEIGHT_BYTES: usize = 1024;

/// Settings of the weight store.
#[value]
pub struct StoreSettings {
    /// Where it listens.
    pub listen: SocketAddr,
    /// Answers a second; 0 sets no limit.
    pub per_s: u64,
}

impl StoreSettings {
    /// A store at `listen` without a limit.
    pub fn new(listen: SocketAddr) -> StoreSettings {
        StoreSettings { listen, per_s: 0 }
    }
}

struct Store {
    control: Arc<Control>,
    per_s: u64,
    rate: Rate,
}

/// Starts the weight store.
pub async fn start(settings: StoreSettings) -> Result<Handle, StandinError> {
    let control = Control::new();
    let store = Arc::new(Store {
        control: control.clone(),
        per_s: settings.per_s,
        rate: Rate::new(),
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
        if !self.may_give(&call.path) {
            return reply::come_back(429, "rate", RETRY_AFTER_S);
        }
        reply::bytes(200, Bytes::from(vec![0; WEIGHT_BYTES]))
    }

    fn may_give(&self, path: &str) -> bool {
        let fault = self.control.faults.hit(FaultKind::StoreRate, path);
        let limit = match (fault, self.per_s) {
            (Some(fault), _) => fault.per_s,
            (None, 0) => return true,
            (None, per_s) => per_s,
        };
        self.rate.take(limit)
    }
}
