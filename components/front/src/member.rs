//! Membership in the group of fronts that run steps.
//!
//! The store deals partitions to members, and a shard of the steps is run by the owner of its
//! partition. Two owners for a moment cost runs of items, never a result: the index says
//! which result holds. So partitions that are dealt anew at any time do no harm. Fronts with
//! little processor time are members only while no other front is one.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use index::{RUNNER_GROUP, RUNNER_TOPIC};
use ownership::{
    LARGE_SHARD_PLACES, MEMBER_TTL_MS, Next, Ownership, OwnershipSettings, SETTLING_MS,
    SMALL_SHARD_PLACES, Standby, join_interval_ms,
};
use pacing::Activity;
use platform::settings::FrontSettings;

use crate::clock::now_ms;
use crate::state::Front;

/// How long results may be unwritable before the models go to another front, in
/// milliseconds; a slow store answers within 240.
const UNWRITABLE_MS: u64 = 800;
/// Longest time for a join, in milliseconds.
const WITHIN_MS: u64 = 700;

/// Least share of a core, in thousandths, of a front that runs shards beside others of its like.
/// A shard of 96 places keeps a front at work for a twentieth of a core on average, and for
/// several times that while steps begin.
const LARGE_THOUSANDTHS: u32 = 200;
/// Pause between looks at who owns partitions, in milliseconds, of a front that stands by.
const STANDBY_MS: u64 = 1_000;
/// Begins the names of members that stand by for others.
const STANDBY_PREFIX: &str = "standby:";

/// Times of the membership.
pub fn settings(settings: &FrontSettings) -> OwnershipSettings {
    OwnershipSettings {
        ttl_ms: MEMBER_TTL_MS.max(settings.store.member_ttl_min_ms),
        unwritable_ms_max: UNWRITABLE_MS,
    }
}

/// Stays in the group until the process leaves.
pub async fn stay(front: Arc<Front>) {
    let mut ownership = Ownership::new(settings(&front.settings));
    let mut standby = is_small(&front).then(Standby::default);
    let mut settling_until_ms = 0;
    while front.drain.is_ready() {
        if let Some(standby) = &mut standby
            && !takes_part(&front, standby).await
        {
            if !ownership.partitions().is_empty() {
                step_down(&front, &mut ownership, "larger fronts are back").await;
            }
            front.storage.pause(STANDBY_MS).await;
            continue;
        }
        let unwritable_ms = front.unwritable_ms(now_ms());
        match ownership.next(unwritable_ms) {
            Next::Join { generation } => {
                let changed = join(&front, &mut ownership, generation).await;
                // Of hundreds of fronts few have a partition to hand on or to wait for.
                if changed && !ownership.partitions().is_empty() {
                    settling_until_ms = now_ms() + SETTLING_MS;
                }
            }
            Next::StepDown => {
                step_down(&front, &mut ownership, "results cannot be written").await;
            }
            Next::Wait => {}
        }
        let settling = now_ms() < settling_until_ms;
        let pause_ms = join_interval_ms(settling);
        front.storage.pause(pause_ms).await;
    }
}

fn is_small(front: &Front) -> bool {
    front.settings.processor_thousandths < LARGE_THOUSANDTHS
}

/// Whether a front that stands by takes part now.
async fn takes_part(front: &Front, standby: &mut Standby) -> bool {
    let within = Duration::from_millis(WITHIN_MS);
    match front.storage.read_owners(RUNNER_GROUP, within).await {
        Ok(owners) => {
            let larger = |(_, owner): &(u32, String)| !owner.starts_with(STANDBY_PREFIX);
            standby.owners_read(owners.iter().any(larger), now_ms());
        }
        Err(error) => log::warn!(event = "owners-not-read", error:% = error; ""),
    }
    let takes_part = standby.takes_part(now_ms());
    let shard_places = match takes_part {
        true => SMALL_SHARD_PLACES,
        false => LARGE_SHARD_PLACES,
    };
    front.shard_places.store(shard_places, Ordering::Relaxed);
    takes_part
}

/// Gives all partitions up, so that other members are dealt them.
async fn step_down(front: &Front, ownership: &mut Ownership, why: &str) {
    log::warn!(event = "stepping-down", unwritable_ms = front.unwritable_ms(now_ms()), why; "");
    ownership.step_down();
    front.ownership.store(Arc::new(ownership.clone()));
    if leave_group(front).await {
        ownership.left();
        front.ownership.store(Arc::new(ownership.clone()));
    }
}

/// Joins or stays; true if the group changed.
async fn join(front: &Front, ownership: &mut Ownership, generation: u64) -> bool {
    let sent_ms = now_ms();
    let joined = front
        .storage
        .join(
            RUNNER_GROUP,
            &member_name(front),
            RUNNER_TOPIC,
            ownership.ttl_ms(),
            generation,
            Duration::from_millis(WITHIN_MS),
        )
        .await;
    match joined {
        Ok(joined) => {
            let changed = ownership.joined(sent_ms, joined.generation, joined.partitions);
            if changed {
                log::info!(
                    event = "partitions-dealt", generation = joined.generation,
                    partitions:? = ownership.partitions(); ""
                );
            }
            let succeeds = lease::is_successor(ownership.partitions().iter());
            front.demand.set_active(Activity::Succession, succeeds);
            front.ownership.store(Arc::new(ownership.clone()));
            if changed {
                front.partitions_moved.store(true, Ordering::Relaxed);
                front.demand.refresh();
            }
            front.runner_wakeup.notify_one();
            changed
        }
        Err(error) => {
            log::warn!(event = "join-failed", generation, error:% = error; "");
            false
        }
    }
}

/// Hands the partitions to others at once; while the store does not know of it, they stand
/// still for a time to live that it may not count while it is away, so it is told again.
pub async fn leave(front: Arc<Front>) {
    let mut given_up = Ownership::clone(&front.ownership.load());
    given_up.step_down();
    front.ownership.store(Arc::new(given_up));
    while !leave_group(&front).await {
        front.storage.pause(join_interval_ms(false)).await;
    }
}

/// Whether the store knows of it.
async fn leave_group(front: &Front) -> bool {
    let within = Duration::from_millis(WITHIN_MS);
    let left = front
        .storage
        .leave(RUNNER_GROUP, &member_name(front), within)
        .await;
    if let Err(error) = &left {
        log::warn!(event = "leave-failed", error:% = error; "");
    }
    left.is_ok()
}

fn member_name(front: &Front) -> String {
    let node = &front.settings.node;
    match is_small(front) {
        true => format!("{STANDBY_PREFIX}{node}"),
        false => node.clone(),
    }
}
