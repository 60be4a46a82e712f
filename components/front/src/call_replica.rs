//! Selects the replica for an attempt of a call: through the queue of the service where its calls are
//! queued, elsewhere by the expected time of the answer. A call that crashes replicas, or may do so,
//! is refused here or kept apart from other calls.

use std::sync::Arc;
use std::time::Duration;

use concurrency::{BACKGROUND_MAX, Refusal};
use dispatch::{Candidate, Route, TypicalDuration, choose_replica};
use quarantine::CallDigest;

use crate::call_queue::{Acquired, CallQueue, Slot, SlotRequest};
use crate::calls::CallSpec;
use crate::clock::now_ms;
use crate::peers::{Incarnation, Member, ReplicaTable, incarnation};
use crate::state::Front;
use crate::suspects::{InFlightAttempt, StartPermission, SuspectRefusal};

/// Interval at which a waiting call looks for a replica that may run it, in milliseconds.
const POLL_MS: u64 = 10;

/// A replica for the next attempt.
pub enum Granted<'a> {
    /// A place at a replica, where the attempt counts as in flight.
    Place(Slot<'a>, InFlightAttempt),
    /// No untried replica is left, or the deadline has passed.
    NoReplica,
    /// The queue refuses the call.
    Refused(Refusal),
    /// The call crashes replicas or may do so.
    Suspected(SuspectRefusal),
}

/// Names of the route's services, those without a weight among them.
pub fn services(route: &Route) -> impl Iterator<Item = &str> {
    route.shares.iter().map(|share| &*share.service)
}

/// Whether a replica may receive new calls.
pub fn accepts_work(member: &Member) -> bool {
    !member.replica.draining
}

/// A place for the next attempt, at a replica where the call may run. A call that crashes replicas
/// or may do so is kept apart from other calls; it is refused before it takes a place.
pub async fn acquire<'a>(
    front: &'a Front,
    spec: &CallSpec<'_>,
    digest: CallDigest,
    typical: &TypicalDuration,
    tried: &[Incarnation],
    was_refused: bool,
) -> Granted<'a> {
    let mut unavailable = tried.to_vec();
    while spec.left_ms() > 0 {
        let permission = match front.suspects.check(digest, spec.background) {
            Some(permission) => permission,
            None => {
                let is_kept_apart = unavailable.len() > tried.len();
                let was_refused = was_refused || is_kept_apart;
                let selected = select_replica(front, spec, typical, &unavailable, was_refused);
                let slot = match selected.await {
                    Acquired::Slot(slot) => slot,
                    Acquired::Refused(refusal) => return Granted::Refused(refusal),
                    Acquired::NoReplica if is_kept_apart => {
                        // The replicas that are left run suspects, and are free after them.
                        unavailable.truncate(tried.len());
                        tokio::time::sleep(Duration::from_millis(POLL_MS)).await;
                        continue;
                    }
                    Acquired::NoReplica => return Granted::NoReplica,
                };
                let deadline_ms = spec.deadline_at_ms;
                match front
                    .suspects
                    .try_start(digest, &slot.member, deadline_ms, spec.background)
                {
                    StartPermission::Start(in_flight) => return Granted::Place(slot, in_flight),
                    StartPermission::OtherReplica => {
                        unavailable.push(incarnation(&slot.member.replica));
                        continue;
                    }
                    permission => permission,
                }
            }
        };
        if let StartPermission::Refused(refusal) = permission {
            return Granted::Suspected(refusal);
        }
        tokio::time::sleep(Duration::from_millis(POLL_MS)).await;
    }
    Granted::NoReplica
}

/// Selects the replica for the next attempt. Waits for a place where the calls of the service are
/// queued; elsewhere only a background call waits until a replica has room for it.
async fn select_replica<'a>(
    front: &'a Front,
    spec: &CallSpec<'_>,
    typical: &TypicalDuration,
    tried: &[Incarnation],
    was_refused: bool,
) -> Acquired<'a> {
    let queues = queues(front, spec, tried);
    if let Some((queue, others)) = queues.split_first() {
        let request = SlotRequest {
            spec,
            typical,
            tried,
            was_refused,
        };
        return queue.acquire(front, &request, others).await;
    }
    let slot = |member| Slot::unqueued(front, member, typical.us(), spec.background);
    loop {
        let member = choose_member(front, spec, typical, tried, spec.background);
        let wait_for_room = spec.background && member.is_none() && spec.left_ms() > 0;
        if !wait_for_room || choose_member(front, spec, typical, tried, false).is_none() {
            return member.map_or(Acquired::NoReplica, |member| Acquired::Slot(slot(member)));
        }
        tokio::time::sleep(Duration::from_millis(POLL_MS)).await;
    }
}

/// Selects the replica for a hedged request, if one may be sent now.
pub fn select_hedge<'a>(
    front: &'a Front,
    spec: &CallSpec<'_>,
    typical: &TypicalDuration,
    tried: &[Incarnation],
) -> Option<Slot<'a>> {
    let queues = queues(front, spec, tried);
    if let Some(queue) = queues.first() {
        let request = SlotRequest {
            spec,
            typical,
            tried,
            was_refused: false,
        };
        return queue.try_hedge(front, &request);
    }
    let member = choose_member(front, spec, typical, tried, false)?;
    Some(Slot::unqueued(front, member, typical.us(), spec.background))
}

/// Queues of the route's services that have an untried replica: that of the drawn service first,
/// then those of the services with a weight. Empty if the calls of the first service are not
/// queued.
fn queues(front: &Front, spec: &CallSpec<'_>, tried: &[Incarnation]) -> Vec<Arc<CallQueue>> {
    let table = front.replicas.load();
    let has_untried = |service: &&str| {
        let mut members = table.of(service).iter();
        members.any(|member| accepts_work(member) && !tried.contains(&incarnation(&member.replica)))
    };
    let drawn = spec.route.pick_service(rand::random()).map(|name| &**name);
    let first = drawn
        .into_iter()
        .chain(services(spec.route))
        .find(has_untried);
    let Some(queue) = first.and_then(|service| front.call_queues.active(&table, service)) else {
        return Vec::new();
    };
    let weighted = spec.route.services().map(|name| &**name);
    let others = weighted
        .filter(|service| Some(*service) != first)
        .filter(has_untried)
        .filter_map(|service| front.call_queues.active(&table, service));
    std::iter::once(queue).chain(others).collect()
}

fn choose_member(
    front: &Front,
    spec: &CallSpec<'_>,
    typical: &TypicalDuration,
    tried: &[Incarnation],
    with_room: bool,
) -> Option<Member> {
    let table = front.replicas.load();
    let drawn_service = spec.route.pick_service(rand::random());
    let in_service =
        |service: &str| choose_in_service(front, &table, service, typical, tried, with_room);
    drawn_service
        .and_then(|service| in_service(service))
        .or_else(|| services(spec.route).find_map(in_service))
}

/// Selects an untried replica of a service that accepts work. `with_room` restricts the choice to
/// replicas below the limit on background calls.
pub fn choose_in_service(
    front: &Front,
    table: &ReplicaTable,
    service: &str,
    typical: &TypicalDuration,
    tried: &[Incarnation],
    with_room: bool,
) -> Option<Member> {
    let members: Vec<&Member> = table
        .of(service)
        .iter()
        .filter(|member| accepts_work(member) && !tried.contains(&incarnation(&member.replica)))
        .filter(|member| !with_room || member.peer.load.background() < BACKGROUND_MAX)
        .collect();
    let all = (0..members.len()).collect();
    let chosen = choose_among(front, &members, all, typical.us())?;
    Some(members[chosen].clone())
}

/// Index of the replica that is expected to answer first, among those of `members` at the indices
/// `allowed`.
pub fn choose_among(
    front: &Front,
    members: &[&Member],
    allowed: Vec<usize>,
    typical_us: u64,
) -> Option<usize> {
    let now_ms = now_ms();
    let candidate = |at: &usize| {
        let member = members[*at];
        Candidate {
            load: &member.peer.load,
            same_domain: *member.replica.domain == *front.settings.domain,
            connected: member.peer.is_connected(now_ms),
        }
    };
    let candidates: Vec<Candidate<'_>> = allowed.iter().map(candidate).collect();
    choose_replica(&candidates, typical_us, rand::random(), now_ms).map(|chosen| allowed[chosen])
}
