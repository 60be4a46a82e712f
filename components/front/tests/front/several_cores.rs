//! Fronts whose tasks run on several cores.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use standins::fleet::records::{self, ENGINES};
use standins::fleet::trainer::expected_text;
use standins::{Fault, FaultKind};
use tokio::sync::Semaphore;
use tokio::time::sleep;

use crate::common::{Site, wait_until};
use crate::relayed::GROUP;

const PARTITIONS: u32 = 24;
const REPLICAS: usize = 9;
const ITEMS: usize = REPLICAS * records::SLOTS as usize;
const EVENTS: u64 = 24;
const PAUSE_MS: u64 = 100;
const STEPS: u64 = 4;
/// When the store turns the owner away, and for how long: longer than a membership lasts.
const REFUSE_AT: Duration = Duration::from_millis(800);
const REFUSE: Duration = Duration::from_millis(1_900);
/// Interval between the ends of two texts.
const BETWEEN_ENDS: Duration = Duration::from_micros(60);

/// Lets the held streams end one after the other, from the moment at which a member joins.
fn end_texts_at_join(site: &Site, member: &str, permits: &Arc<Semaphore>) {
    let (member, permits) = (member.to_owned(), Arc::clone(permits));
    let ended = AtomicBool::new(false);
    site.store.on_join(move |joined| {
        if joined != member || ended.swap(true, Ordering::Relaxed) {
            return;
        }
        let permits = Arc::clone(&permits);
        std::thread::spawn(move || {
            let began = Instant::now();
            for number in 1..=ITEMS as u32 {
                while began.elapsed() < BETWEEN_ENDS * number {
                    std::hint::spin_loop();
                }
                permits.add_permits(1);
            }
        });
    });
}

/// Guards against texts that are listed empty or cut because their run ends on one core while, on
/// another one, the front drops the item, whose shard another front has by then.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn can_list_whole_texts_that_end_while_their_shard_is_lost() {
    let mut site = Site::start(EVENTS, PAUSE_MS).await;
    for number in 3..=REPLICAS {
        let id = format!("engine-{number}");
        site.add(&id, ENGINES, EVENTS, PAUSE_MS).await;
    }
    let nodes = ["a", "b", "c"];
    let fronts = [
        site.front(nodes[0]).await,
        site.front(nodes[1]).await,
        site.front(nodes[2]).await,
    ];
    sleep(Duration::from_millis(1_000)).await;
    for step in 0..STEPS {
        let permits = Arc::new(Semaphore::new(0));
        for replica in &site.replicas {
            replica.seen.hold_ends(&permits);
        }
        wait_until("all partitions are owned", || async {
            site.store.owners_of(GROUP).len() == PARTITIONS as usize
        })
        .await;
        let partition = ownership::shard_partition(ENGINES, 0, PARTITIONS);
        let owners = site.store.owners_of(GROUP);
        let owner = owners.into_iter().find(|(owned, _)| *owned == partition);
        let (_, owner) = owner.expect("an owner");
        let at = nodes.iter().position(|node| *node == owner);
        let at = at.expect("a front of this test");
        let reader = &fronts[(at + 1) % nodes.len()];
        let id = format!("s-{step}");
        let submitted = reader.submit(&id, &records::step(step, 1, ITEMS)).await;
        assert_eq!(submitted.0, 202);
        let item = format!("item-{step}-0");
        wait_until("the items run", || async { !site.runs(&item).is_empty() }).await;
        sleep(REFUSE_AT).await;
        let listener = &fronts[at].store_listener;
        listener.inject_fault(Fault::new(FaultKind::Outage));
        sleep(REFUSE).await;
        end_texts_at_join(&site, &owner, &permits);
        listener.clear_faults();
        for result in reader.all_results(&id, ITEMS).await {
            assert_eq!(result["State"], "succeeded", "step {step}");
            assert_eq!(
                result["Text"],
                expected_text(EVENTS),
                "step {step}, {}",
                result["Id"]
            );
            assert_eq!(result["Versions"], serde_json::json!([1]), "step {step}");
        }
    }
}
