//! Shards of steps at several fronts.

use std::collections::BTreeSet;

use crate::common::{FrontHandle, Site, wait_until};
use standins::fleet::records;

/// Places of each replica, so that two of them are more than one shard.
const MANY_SLOTS: u32 = 200;
/// Group of the fronts that run steps.
const GROUP: &str = "fronts";

fn owners(site: &Site) -> BTreeSet<String> {
    let owners = site.store.owners_of(GROUP);
    owners.into_iter().map(|(_, owner)| owner).collect()
}

async fn until_owned_by(site: &Site, names: &[&str]) {
    let names: BTreeSet<String> = names.iter().map(|name| (*name).to_owned()).collect();
    wait_until("the partitions are dealt", || async {
        owners(site) == names
    })
    .await;
}

async fn run_step(site: &Site, front: &FrontHandle, number: u64, items: usize) {
    let id = format!("s-{number}");
    let step = records::step(number, 1, items);
    assert_eq!(front.submit(&id, &step).await.0, 202);
    let results = front.all_results(&id, items).await;
    let ids: BTreeSet<&str> = results
        .iter()
        .filter_map(|one| one["Id"].as_str())
        .collect();
    assert_eq!(ids.len(), items);
    for result in &results {
        assert_eq!(result["State"], "succeeded");
    }
    for item in 0..items {
        assert_eq!(
            site.runs(&format!("item-{number}-{item}")),
            [0],
            "item {item}"
        );
    }
}

#[tokio::test]
async fn can_run_a_step_on_two_fronts_that_each_have_a_part_of_the_replicas() {
    // Two fronts have a shard each. Every item runs once: none at both, none at neither. Then
    // one front dies, and the other one runs both shards of the next step.
    let mut site = Site::start(4, 1).await;
    site.slots = MANY_SLOTS;
    for replica in &site.replicas {
        site.write_heartbeat(replica, "ready", 1);
    }
    let fronts = [site.front("a").await, site.front("b").await];
    until_owned_by(&site, &["a", "b"]).await;
    run_step(&site, &fronts[0], 1, 16).await;
    let busy = |id: &str| !site.replica(id).seen.runs().is_empty();
    assert!(busy("engine-1") && busy("engine-2"));
    let [first, second] = fronts;
    drop(first);
    until_owned_by(&site, &["b"]).await;
    run_step(&site, &second, 2, 16).await;
}

#[tokio::test]
async fn can_leave_shards_to_fronts_with_more_processor_time_and_stand_in_for_them() {
    // A front with a tenth of a core is dealt no shard while a larger one is there. That one
    // dies, and nobody would run the steps: the small one does. Then a larger one is back.
    let site = Site::start(4, 1).await;
    let small = site.small_front("s").await;
    until_owned_by(&site, &["standby:s"]).await;
    run_step(&site, &small, 1, 4).await;
    let large = site.front("l").await;
    until_owned_by(&site, &["l"]).await;
    run_step(&site, &small, 2, 4).await;
    drop(large);
    until_owned_by(&site, &["standby:s"]).await;
    run_step(&site, &small, 3, 4).await;
}
