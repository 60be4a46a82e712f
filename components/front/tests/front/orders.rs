//! Orders to model replicas.

use crate::common::{Site, wait_until, write_loaded_heartbeats};
use standins::fleet::records;
use standins::fleet::replica::Ordered;
use standins::{Fault, FaultKind};

fn orders(site: &Site) -> Vec<Ordered> {
    let engines = site
        .replicas
        .iter()
        .filter(|replica| replica.id.starts_with("engine"));
    engines.flat_map(|engine| engine.seen.orders()).collect()
}

#[tokio::test]
async fn can_load_named_versions_by_one_holder() {
    let site = Site::start(2, 1).await;
    let _fronts = [site.front("a").await, site.front("b").await];
    site.name_version(2);
    wait_until("half of the replicas load", || async {
        orders(&site).len() == 1
    })
    .await;
    write_loaded_heartbeats(&site);
    site.name_version(3);
    wait_until("the other half loads", || async {
        write_loaded_heartbeats(&site);
        orders(&site).iter().any(|order| order.version == 3)
    })
    .await;
    let orders = orders(&site);
    assert!(
        orders.iter().all(|order| order.holder == orders[0].holder),
        "{orders:?}"
    );
    assert!(
        orders.iter().all(|order| order.fence == orders[0].fence),
        "{orders:?}"
    );
}

#[tokio::test]
async fn can_let_texts_of_one_version_finish_before_a_load() {
    // Where a route asks for one version, weights that change under a text make it useless; it
    // would be begun anew and end its step late. Elsewhere texts go on under the new version.
    for (single_version, mode) in [(true, "wait"), (false, "retain")] {
        let site = Site::start(2, 1).await;
        let single = format!("\"RetentionS\":40.0,\"SingleVersion\":{single_version}");
        let config = records::config(4).replace("\"RetentionS\":40.0", &single);
        site.store.put("keyed.op", "config", Some(&config));
        let _front = site.front("a").await;
        site.name_version(2);
        wait_until("a replica loads", || async { !orders(&site).is_empty() }).await;
        assert_eq!(orders(&site)[0].mode, mode, "{single_version}");
    }
}

#[tokio::test]
async fn can_replace_a_holder_that_lost_the_store() {
    // The holder is turned away by the store. It gives no order any more, and another front
    // does, with a higher fencing number.
    let site = Site::start(2, 1).await;
    let fronts = [site.front("a").await, site.front("b").await];
    site.name_version(2);
    wait_until("a first order", || async { !orders(&site).is_empty() }).await;
    let first = orders(&site)[0].clone();
    let holder = if first.holder == "a" { 0 } else { 1 };
    fronts[holder]
        .store_listener
        .fault(Fault::new(FaultKind::Outage));
    write_loaded_heartbeats(&site);
    // What it announced before may still allow it the next order.
    tokio::time::sleep(std::time::Duration::from_millis(1_200)).await;
    site.name_version(3);
    wait_until("an order of the other one", || async {
        orders(&site)
            .iter()
            .any(|order| order.holder != first.holder)
    })
    .await;
    let later = orders(&site)
        .into_iter()
        .find(|order| order.holder != first.holder);
    assert!(later.expect("one").fence > first.fence);
}

#[tokio::test]
async fn can_order_again_when_an_answer_is_lost() {
    // A replica carries an order out and its answer is lost. The next look at its report
    // shows the version, so no second order goes out.
    let site = Site::start(2, 1).await;
    for id in ["engine-1", "engine-2"] {
        let lost = Fault::new(FaultKind::AnswerLost).on("/v1/order").times(1);
        site.replica(id).handle.fault(lost);
    }
    let _front = site.front("a").await;
    site.name_version(2);
    wait_until("an order", || async { !orders(&site).is_empty() }).await;
    tokio::time::sleep(std::time::Duration::from_millis(900)).await;
    assert_eq!(orders(&site).len(), 1);
}
