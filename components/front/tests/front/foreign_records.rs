//! Records of other writers among those of the replicas.

use platform::records::REPLICA_TOPIC;
use standins::fleet::records::{self, PLAIN};
use standins::fleet::replica::{self, ReplicaControl, ReplicaSettings};

use crate::common::{FrontHandle, Site, wait_until};

/// More than a page of the store's newest records.
const RECORDS: usize = 600;
/// Calls that each front gets.
const CALLS: usize = 20;

/// Keys of another writer, which sort before those of the replicas.
const KEYS: [&str; 7] = [
    "foreign&After=z",
    "foreign+",
    "foreign#",
    "foreign%",
    "foreign ",
    "foreign\u{1}",
    "Fremdschlüssel-鍵",
];

/// Starts a replica that no record of a replica names.
async fn start_unlisted(id: &str) -> (standins::Handle, ReplicaControl) {
    let settings = ReplicaSettings {
        id: id.to_owned(),
        events: 0,
        pause_ms: 1,
    };
    let listen = ([127, 0, 0, 1], 0).into();
    replica::start(listen, settings).await.expect("a port")
}

async fn serves_calls(front: &FrontHandle, name: &str) {
    for number in 0..CALLS {
        let id = format!("{name}-{number}");
        assert_eq!(front.call(&id, "/calls/0").await.0, 200, "{id:?}");
    }
}

/// Guards against fronts that are never ready after a restart, because a page of the replicas'
/// records ends with a key that changes the query for the next page.
#[tokio::test(crate = "crate::cores")]
async fn can_start_beside_keys_with_reserved_characters() {
    for (case, key) in KEYS.into_iter().enumerate() {
        let site = Site::start(3, 1).await;
        for number in 0..RECORDS {
            let key = format!("{key}{number:04}");
            site.store.put(REPLICA_TOPIC, &key, Some("no record"));
        }
        let front = site.front("a").await;
        serves_calls(&front, &format!("case-{case}")).await;
    }
}

/// Guards against calls to an address that only a record under the key of another writer names.
#[tokio::test(crate = "crate::cores")]
async fn uses_no_replica_under_a_key_that_is_no_id() {
    let mut site = Site::start(3, 1).await;
    let front = site.front("a").await;
    let mut unlisted = Vec::new();
    for key in KEYS {
        let (handle, seen) = start_unlisted(key).await;
        let record = records::replica(PLAIN, handle.address, "ready", 1);
        site.store.put(REPLICA_TOPIC, key, Some(&record));
        unlisted.push((key, handle, seen));
    }
    // Once the replica of the last record is used, the front has read those before it.
    site.add("last", PLAIN, 0, 1).await;
    for id in ["plain-1", "plain-2"] {
        site.write_heartbeat(site.replica(id), "draining", 1);
    }
    wait_until("the replica of the last record is used", || async {
        front.call("probe", "/calls/0").await;
        !site.replica("last").seen.runs().is_empty()
    })
    .await;
    let started = site.front("b").await;
    serves_calls(&front, "running").await;
    serves_calls(&started, "started").await;
    for (key, handle, seen) in unlisted {
        assert!(seen.runs().is_empty(), "{key:?}");
        assert_eq!(handle.requests(), 0, "{key:?}");
    }
}
