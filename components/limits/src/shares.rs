//! The shares of all customers at this entry, and the digests of demand for the other entries.
//!
//! In each round an entry sends every other entry a digest of the demand of its busiest customers.
//! The interval between rounds grows with the number of entries, so that an entry sends at most
//! [`DIGEST_BYTES_PER_S_MAX`]: two rounds per second up to five entries, one in 48 s with 390.
//! Until a customer's demand has lasted for a window of three rounds, its share at an entry is the
//! even part alone.

use std::collections::HashMap;

use protocol::DemandDigest;
use types::{CustomerName, NodeId};

use crate::share::{CustomerShare, ShareSettings};

/// Maximum number of bytes of digests that an entry sends per second.
pub const DIGEST_BYTES_PER_S_MAX: u64 = 5_120;
/// Maximum size of the lines of a digest, in bytes.
pub const DIGEST_BYTES_MAX: usize = 512;
/// Bytes of a digest besides its lines: datagram, sender, authentication tag, lower layers.
const OVERHEAD_BYTES: usize = 120;
/// Bytes of a line besides the customer's name.
const LINE_BYTES: usize = 4;

const ROUND_INTERVAL_MIN_MS: u64 = 500;
/// Three rounds, so that one lost digest and the late delivery of the one before it have no effect.
const ROUNDS_PER_WINDOW: u64 = 3;
/// Time constant of the moving average of demand. With a shorter one, random gaps between a few
/// requests per second would look like no demand at all.
const DEMAND_TIME_CONSTANT_MS: f64 = 15_000.0;

/// Digests state demand in units of 1/10,000 of a customer's limits.
const UNITS_PER_LIMIT: f64 = 10_000.0;

#[derive(Debug)]
struct CustomerState {
    share: CustomerShare,
    mean: Option<f64>,
}

/// Shares of all customers at this entry; owned by one task.
#[derive(Debug, Default)]
pub struct Shares {
    settings: ShareSettings,
    customers: HashMap<CustomerName, CustomerState>,
    peers: usize,
    last_round_ms: Option<u64>,
}

/// Interval between two rounds of an entry with `peers` other entries, in milliseconds.
pub fn round_interval_ms(peers: usize) -> u64 {
    let round_bytes = peers * (DIGEST_BYTES_MAX + OVERHEAD_BYTES);
    let round_interval_ms = round_bytes as u64 * 1_000 / DIGEST_BYTES_PER_S_MAX;
    round_interval_ms.max(ROUND_INTERVAL_MIN_MS)
}

impl Shares {
    /// Shares without customers or peers.
    pub fn new(settings: ShareSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Time since the last round, in milliseconds; `None` if the next round is not due yet.
    pub fn elapsed_if_due_ms(&self, now_ms: u64) -> Option<u64> {
        let Some(last_round_ms) = self.last_round_ms else {
            return Some(ROUND_INTERVAL_MIN_MS);
        };
        let elapsed_ms = now_ms.saturating_sub(last_round_ms);
        (elapsed_ms >= round_interval_ms(self.peers)).then_some(elapsed_ms)
    }

    /// Runs one round and returns the digest for the other entries. `peers` are the other live
    /// entries. `demands` are the customers' demands at this entry in the `elapsed_ms` milliseconds
    /// since the last round, as fractions of their limits. Customers that are not in `demands` are
    /// removed.
    pub fn run_round(
        &mut self,
        peers: &[NodeId],
        demands: impl IntoIterator<Item = (CustomerName, f64)>,
        elapsed_ms: u64,
        now_ms: u64,
    ) -> DemandDigest {
        self.last_round_ms = Some(now_ms);
        self.peers = peers.len();
        let window_ms = round_interval_ms(self.peers) * ROUNDS_PER_WINDOW;
        let mut next = HashMap::new();
        let mut lines = Vec::new();
        for (customer, demand) in demands {
            let mut state = self
                .customers
                .remove(&customer)
                .unwrap_or_else(|| CustomerState {
                    share: CustomerShare::new(self.settings.clone()),
                    mean: None,
                });
            let mean = moving_average(state.mean, demand, elapsed_ms);
            state.mean = Some(mean);
            let units = (mean * UNITS_PER_LIMIT).round();
            state.share.set_window_ms(window_ms);
            state.share.set_live_peers(peers.iter().copied(), now_ms);
            // The entry must count the same rounded number that it sends, or the sum of the shares
            // could exceed one.
            state.share.record_demand(units, now_ms);
            if units > 0.0 {
                lines.push((customer.clone(), units as u32));
            }
            next.insert(customer, state);
        }
        self.customers = next;
        digest(lines)
    }

    /// Records the digest of another entry. Customers without a line count with `rest_max`, the
    /// highest demand that was left out of the digest.
    pub fn record_digest(&mut self, peer: NodeId, digest: &DemandDigest, now_ms: u64) {
        let lines: HashMap<&CustomerName, u32> = digest
            .lines
            .iter()
            .map(|(customer, units)| (customer, *units))
            .collect();
        for (customer, state) in &mut self.customers {
            let units = lines.get(customer).copied().unwrap_or(digest.rest_max);
            state
                .share
                .record_peer_demand(peer, f64::from(units), now_ms);
        }
    }

    /// This entry's share of the customer's limits, from 0 to 1. A customer that was not in the
    /// last round is split evenly between the entries.
    pub fn share(&self, customer: &CustomerName, now_ms: u64) -> f64 {
        match self.customers.get(customer) {
            Some(state) => state.share.share(now_ms),
            None => 1.0 / (self.peers as f64 + 1.0),
        }
    }
}

fn moving_average(mean: Option<f64>, demand: f64, elapsed_ms: u64) -> f64 {
    let Some(mean) = mean else {
        return demand;
    };
    let newest = 1.0 - (-(elapsed_ms as f64) / DEMAND_TIME_CONSTANT_MS).exp();
    mean + (demand - mean) * newest
}

/// Builds a digest of the highest demands, as many as fit.
fn digest(mut lines: Vec<(CustomerName, u32)>) -> DemandDigest {
    lines.sort_by(|a, b| b.1.cmp(&a.1).then_with(|| a.0.cmp(&b.0)));
    let mut bytes = 0;
    let fits = |(customer, _): &&(CustomerName, u32)| {
        bytes += customer.as_str().len() + LINE_BYTES;
        bytes <= DIGEST_BYTES_MAX
    };
    let count = lines.iter().take_while(fits).count();
    let rest_max = lines.get(count).map_or(0, |&(_, units)| units);
    lines.truncate(count);
    DemandDigest { lines, rest_max }
}
