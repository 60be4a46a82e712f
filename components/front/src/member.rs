//! Membership in the group of fronts that run steps.
//!
//! The store deals partitions to members, and a model's steps are run by the owner of its
//! partition. Two owners for a moment cost runs of items, never a result: the index says
//! which result holds. So partitions that are dealt anew at any time do no harm.

use std::sync::Arc;
use std::time::Duration;

use crate::clock::now_ms;
use crate::log_record::{RUNNER_GROUP, RUNNER_TOPIC};
use crate::state::{Front, Ownership};

/// Time to live of a member, in milliseconds: how long items stand still after a front died.
const TTL_MS: u64 = 1_300;
/// Pause between joins, in milliseconds; two may be lost before the membership is.
const JOIN_MS: u64 = 350;
/// How long results may be unwritable before the models go to another front, in
/// milliseconds; a slow store answers within 240.
const UNWRITABLE_MS: u64 = 800;
/// Longest time for a join, in milliseconds.
const WITHIN_MS: u64 = 700;

/// Stays in the group until the process leaves.
pub async fn stay(front: Arc<Front>) {
    let ttl_ms = TTL_MS.max(front.settings.store.member_ttl_min_ms);
    let member = member_name(&front);
    let mut generation = 0;
    while front.drain.is_ready() {
        let sent_ms = now_ms();
        if front.unwritable_ms(sent_ms) > UNWRITABLE_MS {
            stand_back(&front).await;
            generation = 0;
            continue;
        }
        let within = Duration::from_millis(WITHIN_MS);
        let joined = front
            .storage
            .join(
                RUNNER_GROUP,
                &member,
                RUNNER_TOPIC,
                ttl_ms,
                generation,
                within,
            )
            .await;
        match joined {
            Ok(membership) => {
                if membership.generation != generation {
                    log::info!(
                        event = "partitions-dealt", generation = membership.generation,
                        partitions:? = membership.partitions; ""
                    );
                }
                generation = membership.generation;
                let partitions = membership.partitions.into_iter().collect();
                let until_ms = sent_ms + ttl_ms;
                front.owned.store(Arc::new(Ownership {
                    partitions,
                    until_ms,
                }));
                front.runner_news.notify_one();
            }
            Err(error) => {
                log::warn!(event = "join-failed", generation, error:% = error; "");
            }
        }
        front.storage.pause(JOIN_MS).await;
    }
}

/// Leaves the group until results can be written again. The store may take a front's joins
/// and refuse its appends; the front would hold on to its models and list nothing.
async fn stand_back(front: &Front) {
    log::warn!(event = "standing-back", unwritable_ms = front.unwritable_ms(now_ms()); "");
    leave(front).await;
    while front.unwritable_ms(now_ms()) > 0 && front.drain.is_ready() {
        front.storage.pause(JOIN_MS).await;
    }
}

/// Hands the partitions to others at once.
pub async fn leave(front: &Front) {
    front.owned.store(Arc::default());
    let within = Duration::from_millis(WITHIN_MS);
    if let Err(error) = front
        .storage
        .leave(RUNNER_GROUP, &member_name(front), within)
        .await
    {
        log::warn!(event = "leave-failed", error:% = error; "");
    }
}

fn member_name(front: &Front) -> String {
    front.settings.node.clone()
}
