//! Finds out when the way of calls should change back.

use std::time::Duration;

use platform::store::RawCall;
use relay::{ANSWER_MS_MAX, FRONTS_TOPIC, Probe};
use tokio::time::timeout;

use super::{PeerRelay, direct_outcome};
use crate::clock::now_ms;

/// Size limit of the answer to a probe, which is a page of at most one record.
const ANSWER_BYTES_MAX: usize = 1024 * 1024;

/// Makes the probes that are due, until the process ends.
pub async fn run(relay: &PeerRelay) {
    let mut way = relay.way.subscribe();
    loop {
        let probe = relay.route().probe();
        match probe {
            Probe::None => {
                relay.close_links().await;
                // The sender lives as long as `relay`, so `changed` cannot fail.
                let _ = way.changed().await;
            }
            Probe::Direct(at_ms) | Probe::Peer(at_ms) if at_ms > now_ms() => {
                let left = Duration::from_millis(at_ms - now_ms().min(at_ms));
                // Ends early if the way changes; another probe may then be due.
                let _ = timeout(left, way.changed()).await;
            }
            Probe::Direct(_) => probe_direct(relay).await,
            Probe::Peer(_) => try_peer(relay).await,
        }
    }
}

async fn probe_direct(relay: &PeerRelay) {
    let outcome = relay.connections.call(probe_call(), ANSWER_BYTES_MAX).await;
    let (outcome, random) = (direct_outcome(&outcome), rand::random());
    let change = relay.route().record_probe(outcome, now_ms(), random);
    relay.apply(change);
}

/// Sends one small call through one peer, while the store is down for all fronts.
async fn try_peer(relay: &PeerRelay) {
    let peer = {
        let mut route = relay.route();
        route.record_trial(now_ms(), rand::random());
        route.next_peer(&[], now_ms())
    };
    if let Some(peer) = peer
        && let Err(failure) = relay.call_peer(peer, &probe_call()).await
    {
        log::debug!(event = "peer-trial-failed", peer:% = peer, why = failure.reason; "");
    }
}

fn probe_call() -> RawCall {
    RawCall::probe(FRONTS_TOPIC, Duration::from_millis(ANSWER_MS_MAX))
}
