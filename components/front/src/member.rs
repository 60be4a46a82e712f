//! Membership in the group of fronts that run steps.
//!
//! The store assigns partitions to the members of the group, and the owner of a partition runs the
//! shards of steps that map to it. If two fronts own a partition for a short time, some items run
//! twice, but no result is lost or duplicated, because the index decides which result is valid.
//! Rebalancing is therefore safe at any time. Fronts with a small CPU share join the group only
//! while no larger front is a member.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use index::{RUNNER_GROUP, RUNNER_TOPIC};
use ownership::{
    JoinChange, LARGE_SHARD_SLOTS, MEMBER_TTL_MS, MembershipAction, Ownership, OwnershipSettings,
    REBALANCE_MS, SMALL_SHARD_SLOTS, Standby, join_interval_ms,
};
use pacing::Activity;
use platform::settings::FrontSettings;

use crate::clock::now_ms;
use crate::follow::Lookup;
use crate::state::Front;

/// How long appends of results may fail before the front gives its shards to other fronts, in
/// milliseconds. Well above the 240 ms that a slow store takes to answer.
const UNWRITABLE_MS_MAX: u64 = 800;
/// Timeout of one call about the group, in milliseconds.
pub const GROUP_TIMEOUT_MS: u64 = 700;

/// CPU share, in thousandths of a core, from which a front counts as large and always joins the
/// group. A shard of 96 slots takes a twentieth of a core on average, and several times as much
/// while steps start.
const LARGE_CPU_THOUSANDTHS: u32 = 200;
/// Pause after a failed join while calls go through a peer, in milliseconds. A peer that fails
/// takes up to half a second of the membership's time to live, so the next one is used soon.
const RELAYED_RETRY_MS: u64 = 100;
/// Interval at which a small front on standby checks who owns partitions, in milliseconds.
const STANDBY_POLL_MS: u64 = 1_000;
/// Prefix of the member names of small fronts.
const STANDBY_PREFIX: &str = "standby:";

/// Time limits of the membership.
pub fn ownership_settings(settings: &FrontSettings) -> OwnershipSettings {
    OwnershipSettings {
        ttl_ms: MEMBER_TTL_MS.max(settings.store.member_ttl_min_ms),
        unwritable_ms_max: UNWRITABLE_MS_MAX,
    }
}

/// Keeps up the membership in the group until the process starts to leave.
pub async fn maintain(front: Arc<Front>) {
    let mut ownership = Ownership::new(ownership_settings(&front.settings));
    let mut standby = is_small(&front.settings).then(Standby::default);
    let mut rebalancing_until_ms = 0;
    while front.drain.is_ready() {
        if let Some(standby) = &mut standby
            && !should_join(&front, standby).await
        {
            if !ownership.partitions().is_empty() {
                step_down(&front, &mut ownership, "larger fronts own partitions").await;
            }
            front.storage.pause(STANDBY_POLL_MS).await;
            continue;
        }
        let unwritable_ms = front.unwritable_ms(now_ms());
        let mut join_failed = false;
        match ownership.next_action(unwritable_ms) {
            MembershipAction::Join { generation } => {
                let joined = join(&front, &mut ownership, generation).await;
                join_failed = joined.is_none();
                let changed = joined.unwrap_or(false);
                // A front without partitions has none to release or to wait for; in a large fleet
                // that is true of most fronts.
                if changed && !ownership.partitions().is_empty() {
                    rebalancing_until_ms = now_ms() + REBALANCE_MS;
                }
            }
            MembershipAction::StepDown => {
                step_down(&front, &mut ownership, "appends of results fail").await;
            }
            MembershipAction::Wait => {}
        }
        let rebalancing = now_ms() < rebalancing_until_ms;
        let pause_ms = match join_failed && front.storage.relay.uses_peers() {
            true => RELAYED_RETRY_MS,
            false => join_interval_ms(rebalancing),
        };
        front.storage.pause_unless_rerouted(pause_ms).await;
    }
}

/// Whether a front is too small to run shards while larger ones do.
pub fn is_small(settings: &FrontSettings) -> bool {
    settings.cpu_share_thousandths < LARGE_CPU_THOUSANDTHS
}

/// Whether a small front should be a member now, by the current owners of partitions. Also sets the
/// number of slots per shard for the size of the fronts that are members.
async fn should_join(front: &Front, standby: &mut Standby) -> bool {
    let timeout = Duration::from_millis(GROUP_TIMEOUT_MS);
    match front.storage.read_owners(RUNNER_GROUP, timeout).await {
        Ok(owners) => {
            let larger = |(_, owner): &(u32, String)| !owner.starts_with(STANDBY_PREFIX);
            standby.observe_owners(owners.iter().any(larger), now_ms());
        }
        Err(error) => log::warn!(event = "owners-not-read", error:% = error; ""),
    }
    let should_join = standby.should_join(now_ms());
    let shard_slots = match should_join {
        true => SMALL_SHARD_SLOTS,
        false => LARGE_SHARD_SLOTS,
    };
    front.shard_slots.store(shard_slots, Ordering::Relaxed);
    should_join
}

/// Releases all partitions, so that the store assigns them to other members.
async fn step_down(front: &Front, ownership: &mut Ownership, why: &str) {
    log::warn!(event = "stepping-down", unwritable_ms = front.unwritable_ms(now_ms()), why; "");
    ownership.step_down();
    front.ownership.store(Arc::new(ownership.clone()));
    if leave_group(front).await {
        ownership.record_leave();
        front.ownership.store(Arc::new(ownership.clone()));
    }
}

/// Joins the group or renews the membership. Returns whether the group's generation changed; `None`
/// if the join failed.
async fn join(front: &Arc<Front>, ownership: &mut Ownership, generation: u64) -> Option<bool> {
    let _joining = front.joining.lock().await;
    if front.drain.is_leaving() {
        return None;
    }
    let sent_ms = now_ms();
    let joined = front
        .storage
        .join(
            RUNNER_GROUP,
            &member_name(front),
            RUNNER_TOPIC,
            ownership.ttl_ms(),
            generation,
            Duration::from_millis(GROUP_TIMEOUT_MS),
        )
        .await;
    match joined {
        Ok(joined) => {
            let reads_sent = front.index_copy.reads_sent();
            let JoinChange {
                is_new_generation: changed,
                has_gained,
            } = ownership.record_join(sent_ms, joined.generation, joined.partitions, reads_sent);
            if changed || has_gained {
                log::info!(
                    event = "partitions-dealt", generation = joined.generation,
                    partitions:? = ownership.partitions(); ""
                );
            }
            let is_successor = lease::is_successor(ownership.partitions().iter());
            front
                .demand
                .set_active(Activity::LeaseSuccessor, is_successor);
            front.ownership.store(Arc::new(ownership.clone()));
            if changed {
                front.partitions_moved.store(true, Ordering::Relaxed);
                front.demand.refresh();
            }
            if has_gained {
                tokio::spawn(read_index_of_gained(Arc::clone(front)));
            }
            front.runner_wakeup.notify_one();
            Some(changed)
        }
        Err(error) => {
            log::warn!(event = "join-failed", generation, error:% = error; "");
            None
        }
    }
}

/// Reads the index anew, without which the items of gained partitions are not started.
async fn read_index_of_gained(front: Arc<Front>) {
    let _: Lookup<()> = front.index_copy.look_up(|| None).await;
    front.runner_wakeup.notify_one();
}

/// Releases all partitions when the front shuts down. Until the store has processed the leave,
/// nobody runs the partitions; their time to live may not expire while the store is down. The leave
/// is therefore retried until it succeeds.
pub async fn leave(front: Arc<Front>) {
    // A join in flight would renew the membership if it reached the store after the leave.
    drop(front.joining.lock().await);
    let mut released = Ownership::clone(&front.ownership.load());
    released.step_down();
    front.ownership.store(Arc::new(released));
    while !leave_group(&front).await {
        front.storage.pause(join_interval_ms(false)).await;
    }
}

/// Leaves the group; true if the store confirmed it.
async fn leave_group(front: &Front) -> bool {
    let timeout = Duration::from_millis(GROUP_TIMEOUT_MS);
    let left = front
        .storage
        .leave(RUNNER_GROUP, &member_name(front), timeout)
        .await;
    if let Err(error) = &left {
        log::warn!(event = "leave-failed", error:% = error; "");
    }
    left.is_ok()
}

fn member_name(front: &Front) -> String {
    let node = &front.settings.node;
    match is_small(&front.settings) {
        true => format!("{STANDBY_PREFIX}{node}"),
        false => node.clone(),
    }
}
