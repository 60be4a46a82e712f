//! Records of other writers among those of the replicas.

use platform::records::REPLICA_TOPIC;

use crate::common::{FrontHandle, Site};

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
