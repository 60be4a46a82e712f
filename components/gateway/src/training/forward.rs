//! Finds the home of a step and forwards calls to it.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use node::now_ms;
use protocol::{Head, ProcessRole};
use samples::{Entry, Homes, StepKey, choose_homes};
use types::{Cause, Failure};

use super::inner::{HomeCall, serve_at_home};
use crate::gateway::Gateway;
use crate::peer::PeerCall;
use crate::rejection::Rejection;
use crate::retried_call::with_retry_after;

const NOT_FOUND: u16 = 404;

/// Homes of a step in the current membership view; `None` if all entries are leaving.
fn homes_of(gateway: &Gateway, key: &StepKey) -> Option<Homes> {
    choose_homes(key, &live_entries(gateway))
}

/// Entries that can be homes in the current membership view. Unreachable entries are left out, and
/// this entry too while it is leaving.
pub fn live_entries(gateway: &Gateway) -> Vec<Entry> {
    let snapshot = gateway.gossip.snapshot();
    let now_ms = now_ms();
    let live = snapshot.live(ProcessRole::Entry);
    let reached =
        live.filter(|member| !gateway.reachability.is_unreachable(member.address, now_ms));
    let others = reached.map(|member| Entry {
        address: member.address,
        failure_domain: member.failure_domain.clone(),
    });
    let mut entries: Vec<Entry> = others.collect();
    if !gateway.drain.is_leaving() {
        entries.push(Entry {
            address: gateway.identity.node().address,
            failure_domain: gateway.identity.failure_domain.clone(),
        });
    }
    entries
}

/// Forwards a call to the step's first home and, if that refuses, to the second one. This is safe
/// because every call of a trainer may be repeated.
pub async fn forward_to_home(
    gateway: &Arc<Gateway>,
    call: HomeCall,
) -> Result<(Head, Bytes), Rejection> {
    let own = gateway.identity.node().address;
    let homes = homes_of(gateway, &call.key);
    let candidates = match homes {
        Some(homes) => std::iter::once(homes.first).chain(homes.second).collect(),
        None => vec![own],
    };
    let mut last_rejection = Rejection::Call(Failure::not_run(Cause::NoEndpoint));
    for home in candidates {
        let answered = if home == own {
            serve_at_home(gateway, &call).await
        } else {
            call_remote(gateway, home, &call).await
        };
        match answered {
            // The step may have moved to this home without having arrived there yet.
            Ok((head, _)) if head.status == NOT_FOUND => {
                last_rejection = Rejection::StepNotHeld(call.key.step);
            }
            Err(Rejection::StepNotHeld(step)) => last_rejection = Rejection::StepNotHeld(step),
            Err(Rejection::Call(failure)) => {
                last_rejection = Rejection::Call(with_retry_after(failure));
            }
            answered => return answered,
        }
    }
    Err(last_rejection)
}

async fn call_remote(
    gateway: &Gateway,
    home: SocketAddr,
    call: &HomeCall,
) -> Result<(Head, Bytes), Rejection> {
    let left_ms = call.deadline_at_ms.saturating_sub(now_ms());
    let call = PeerCall {
        request_id: &call.request_id,
        customer: &call.key.customer,
        service: &call.key.service,
        path: &call.path,
        body: call.body.clone(),
        deadline_ms: u32::try_from(left_ms).unwrap_or(u32::MAX),
    };
    Ok(gateway.call_peer(home, call).await?)
}
