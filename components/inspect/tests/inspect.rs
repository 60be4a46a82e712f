//! The rows that an operator sees for the contents of a store.

use index::{INDEX_TOPIC, LogRecord, USAGE_TOPIC, encode, encode_usage};
use inspect::{Inspector, KnowledgeRow, LeaseRow, ShardRow};
use knowledge::ShardRecord;
use lease::LeaseRecord;
use standins::fleet::records;
use standins::fleet::store::Store;
use steps::{DataLocation, ErrorCause, ItemHead, ResultState, StepHead, StepId, StepRecord};
use usage::{CustomerCount, UsageRecord, Window, WindowCounts};

fn head(id: &str) -> StepHead {
    let item = |number: u16| ItemHead {
        id: format!("item-{number}"),
        group: number / 2,
        tokens: 300,
        hint_tokens: 0,
    };
    StepHead {
        id: id.to_owned(),
        customer: None,
        digest: [7; 16],
        host: "h".to_owned(),
        prefix: "/p/".to_owned(),
        model: records::MODEL.to_owned(),
        number: 3,
        min_version: 2,
        single_version: false,
        groups_wanted: 2,
        attempts_max: 3,
        due_ms: 7_500,
        retention_ms: 40_000,
        items: (0..4).map(item).collect(),
        data: Vec::new(),
        pool: records::ENGINES.to_owned(),
        shards: 1,
    }
}

fn listed_result(item: u32, state: ResultState) -> LogRecord {
    LogRecord::Step(StepRecord::Listed {
        step: StepId(0),
        item,
        state,
    })
}

fn succeeded() -> ResultState {
    ResultState::Succeeded {
        versions: vec![2],
        score: "s".to_owned(),
        text: DataLocation {
            partition: 0,
            offset: 0,
            bytes: 1,
        },
    }
}

async fn inspector(store: &Store) -> (standins::Handle, Inspector) {
    let listener = store
        .listen(([127, 0, 0, 1], 0).into())
        .await
        .expect("the store listens on a free port");
    let inspector = Inspector::new(listener.address);
    (listener, inspector)
}

fn write_usage(store: &Store, record: &UsageRecord) {
    store.add(
        USAGE_TOPIC,
        0,
        vec![encode_usage(record).expect("the usage record is encoded")],
    );
}

fn write_index(store: &Store, record: &LogRecord) {
    store.add(
        INDEX_TOPIC,
        0,
        vec![encode(record).expect("the index record is encoded")],
    );
}

#[tokio::test]
async fn can_show_the_configuration_versions_and_replicas() {
    let store = Store::default();
    store.put("keyed.op", "config", Some(&records::config(3)));
    store.put(
        "keyed.op",
        &format!("version/{}", records::MODEL),
        Some(&records::version(5)),
    );
    let address = |port| ([10, 0, 0, 1], port).into();
    let heartbeat =
        |service, state, version| records::replica(service, address(7_000), state, version);
    store.put(
        "keyed.servers",
        "e-1",
        Some(&heartbeat(records::ENGINES, "ready", 5)),
    );
    store.put(
        "keyed.servers",
        "e-2",
        Some(&heartbeat(records::ENGINES, "draining", 4)),
    );
    store.put("keyed.servers", "malformed", Some("{"));
    store.put("keyed.servers", "odd#&+% ", Some("{}"));
    store.put("keyed.op", "version/malformed", Some("[[[["));
    store.put("keyed.op", "odd#&+% ", Some("{"));
    let (_listener, inspector) = inspector(&store).await;
    let (version, routes) = inspector.routes().await.expect("the routes are read");
    let prefixes: Vec<_> = routes.iter().map(|route| route.prefix.as_str()).collect();
    assert_eq!(
        (version, prefixes),
        (3, vec!["/bids/", "/calls/", "/scores/", "/steps/"])
    );
    let versions = inspector.versions().await.expect("the versions are read");
    assert_eq!((versions[0].version, versions[0].replicas), (5, 1));
    let replicas = inspector.replicas().await.expect("the replicas are read");
    let states: Vec<_> = replicas
        .iter()
        .map(|row| (row.replica.as_str(), row.draining))
        .collect();
    assert_eq!(
        states,
        [("e-1", false), ("e-2", true)],
        "the malformed record of a replica is skipped"
    );
}

// The printed kind is the name of a variant in lower case, so a renamed variant would change what
// operators' scripts read.
#[tokio::test]
async fn can_show_the_kind_of_each_route() {
    // The first idempotent route of the configuration becomes a stream.
    let config = records::config(3).replacen(r#""Kind":"safe""#, r#""Kind":"stream""#, 1);
    let store = Store::default();
    store.put("keyed.op", "config", Some(&config));
    let (_listener, inspector) = inspector(&store).await;
    let (_, routes) = inspector.routes().await.expect("the routes are read");
    let kinds: Vec<_> = routes
        .iter()
        .map(|route| (route.prefix.as_str(), route.kind.as_str()))
        .collect();
    assert_eq!(
        kinds,
        [
            ("/bids/", "once"),
            ("/calls/", "stream"),
            ("/scores/", "idempotent"),
            ("/steps/", "rollout"),
        ]
    );
}

#[tokio::test]
async fn can_show_the_progress_of_steps_and_the_holder_of_the_lease() {
    let store = Store::default();
    let accepted = StepRecord::Accepted(Box::new(head("step-3")));
    write_index(&store, &LogRecord::Step(accepted));
    write_index(&store, &listed_result(0, succeeded()));
    write_index(&store, &listed_result(1, succeeded()));
    write_index(
        &store,
        &listed_result(2, ResultState::Errored(ErrorCause::Runs)),
    );
    let acquisition = LeaseRecord::Acquire {
        holder: "front-1".to_owned(),
        attempt: 1,
        after: None,
    };
    write_index(&store, &LogRecord::Lease(acquisition));
    let (_listener, inspector) = inspector(&store).await;
    let steps = inspector.steps().await.expect("the steps are read");
    let [step] = &steps[..] else {
        panic!("expected exactly one step");
    };
    assert_eq!((step.items, step.succeeded, step.errored), (4, 2, 1));
    assert_eq!(
        (step.groups_whole, step.groups_wanted, step.state),
        (1, 2, "open")
    );
    let lease = inspector.lease().await.expect("the lease is read");
    assert_eq!(lease.holder.as_deref(), Some("front-1"));
    let release = LeaseRecord::Release {
        fence: lease.fence.expect("the lease is held"),
    };
    write_index(&store, &LogRecord::Lease(release));
    let none = LeaseRow {
        holder: None,
        fence: None,
    };
    assert_eq!(inspector.lease().await.expect("the lease is read"), none);
}

#[tokio::test]
async fn can_show_the_steps_that_are_left_after_the_store_trimmed_the_index() {
    // The store has removed the records of the first step and still has those of the second.
    let store = Store::default();
    write_index(
        &store,
        &LogRecord::Step(StepRecord::Accepted(Box::new(head("gone")))),
    );
    store.trim(INDEX_TOPIC, 0);
    write_index(
        &store,
        &LogRecord::Step(StepRecord::Accepted(Box::new(head("kept")))),
    );
    let (_listener, inspector) = inspector(&store).await;
    let steps = inspector.steps().await.expect("the steps are read");
    let names: Vec<_> = steps.iter().map(|step| step.step.as_str()).collect();
    assert_eq!(names, ["kept"]);
}

#[tokio::test]
async fn errors_when_the_store_does_not_answer() {
    let (listener, inspector) = inspector(&Store::default()).await;
    drop(listener);
    let error = inspector.steps().await.expect_err("the store is stopped");
    assert!(
        error.to_string().starts_with("cannot read the store"),
        "{error}"
    );
}

#[tokio::test]
async fn can_show_customers_and_their_usage_without_keys() {
    let store = Store::default();
    let config = records::config_with_customers(3, &[("anna", &["key-1", "key-2"]), ("bert", &[])]);
    store.put("keyed.op", "config", Some(&config));
    let step = StepHead {
        customer: Some("anna".to_owned()),
        ..head("step-3")
    };
    let accepted = StepRecord::Accepted(Box::new(step));
    write_index(&store, &LogRecord::Step(accepted));
    let counted = UsageRecord::Counted {
        writer: 1,
        number: 1,
        windows: vec![WindowCounts {
            window: Window(7),
            customers: vec![CustomerCount {
                customer: "anna".to_owned(),
                requests: 3,
            }],
        }],
    };
    write_usage(&store, &counted);
    write_usage(&store, &UsageRecord::Sealed { window: Window(7) });
    let (_listener, inspector) = inspector(&store).await;
    let customers = inspector.customers().await.expect("the customers are read");
    let summaries: Vec<_> = customers
        .iter()
        .map(|row| (row.customer.as_str(), row.keys, row.steps))
        .collect();
    assert_eq!(summaries, [("anna", 2, 1), ("bert", 0, 0)]);
    assert!(!format!("{customers:?}").contains("key-1"));
    let usage = inspector.usage().await.expect("the usage is read");
    assert_eq!((usage[0].state, usage[0].requests), ("sealed", 3));
    let duties = inspector.duties().await.expect("the duties are read");
    assert_eq!(
        (duties[0].reported, &duties[0].waiting[..]),
        (None, &[7][..])
    );
}

#[tokio::test]
async fn can_show_the_newest_record_of_each_shard_with_its_age() {
    // Guards against operators who can't see whose knowledge the next owner of a shard will have,
    // or how old it is; also while the pool has no open step.
    let store = Store::default();
    let record = |node: &str, written_unix_ms| {
        LogRecord::Shard(ShardRecord {
            pool: records::ENGINES.to_owned(),
            shard: 1,
            node: node.to_owned(),
            peer: Some(([127, 0, 0, 1], 9_000).into()),
            at: DataLocation {
                partition: 3,
                offset: 7,
                bytes: 900,
            },
            written_unix_ms,
        })
    };
    write_index(&store, &record("front-a", 10_000));
    write_index(&store, &record("front-b", 12_000));
    let (_listener, inspector) = inspector(&store).await;
    let shards = inspector.shards(12_700).await.expect("the shards are read");
    let expected = ShardRow {
        pool: records::ENGINES.to_owned(),
        shard: 1,
        front: None,
        items_open: 0,
        knowledge: Some(KnowledgeRow {
            front: "front-b".to_owned(),
            peer: Some(([127, 0, 0, 1], 9_000).into()),
            age_ms: 700,
            bytes: 900,
        }),
    };
    assert_eq!(shards, [expected]);
}
