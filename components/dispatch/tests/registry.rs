//! Which replicas accept work as their records appear, disappear and come back.

use dispatch::{Registry, RegistryChange, Replica, most_report_start};

fn replica(id: &str, draining: bool) -> Replica {
    Replica {
        id: id.into(),
        started_ms: None,
        service: "service".into(),
        address: ([127, 0, 0, 1], 80).into(),
        domain: "domain".into(),
        slots: 8,
        draining,
        models: vec![("model".into(), 3)],
    }
}

fn ids(registry: &Registry) -> Vec<String> {
    registry
        .replicas()
        .map(|replica| replica.id.to_string())
        .collect()
}

fn with(ids: &[&str]) -> Registry {
    let mut registry = Registry::default();
    registry.record_store_answer(0);
    for id in ids {
        registry.put(replica(id, false));
    }
    registry
}

#[test]
fn can_tell_a_changed_record_from_a_heartbeat() {
    let mut registry = with(&["a"]);
    assert_eq!(registry.put(replica("a", false)), RegistryChange::Unchanged);
    assert_eq!(registry.put(replica("a", true)), RegistryChange::Changed);
    let started_again = Replica {
        started_ms: Some(1_767_225_600_000),
        ..replica("a", true)
    };
    assert_eq!(registry.put(started_again), RegistryChange::Changed);
}

#[test]
fn can_remove_a_replica_at_once_while_the_store_is_available() {
    let mut registry = with(&["a", "b"]);
    assert_eq!(registry.remove("a", 60_000), RegistryChange::Changed);
    assert_eq!(ids(&registry), ["b"]);
}

#[test]
fn can_keep_replicas_whose_records_expired_during_an_outage() {
    // Guards against refusing every request after a store outage. In an outage longer than the
    // lifetime of a heartbeat every record expires although the replicas live. Live replicas write
    // again within 2 s of the recovery; one that does not is gone.
    let mut registry = with(&["a", "b"]);
    registry.record_store_failure();
    registry.record_store_answer(60_000);
    registry.remove("a", 60_100);
    registry.remove("b", 60_100);
    assert_eq!(ids(&registry), ["a", "b"]);
    registry.put(replica("a", false));
    assert_eq!(registry.expire(61_000), RegistryChange::Unchanged);
    assert_eq!(registry.expire(62_500), RegistryChange::Changed);
    assert_eq!(ids(&registry), ["a"]);
}

#[test]
fn can_remove_a_replica_after_a_refused_read() {
    // Guards against taking a refused read for an outage, which keeps a replica that has left in
    // use for another 2.3 s. With hundreds of fronts the store refuses a read now and then and
    // answers the next; no record expires meanwhile.
    struct Case {
        name: &'static str,
        silent_ms: u64,
        kept: &'static [&'static str],
    }
    let cases = [
        Case {
            name: "a refused read",
            silent_ms: 250,
            kept: &["a"],
        },
        Case {
            name: "a read without an answer",
            silent_ms: 1_450,
            kept: &["a", "b"],
        },
    ];
    for case in cases {
        let mut registry = with(&["a", "b"]);
        registry.record_store_answer(60_000);
        registry.record_store_failure();
        registry.record_store_answer(60_000 + case.silent_ms);
        registry.remove("b", 60_000 + case.silent_ms);
        assert_eq!(ids(&registry), case.kept, "{}", case.name);
    }
}

#[test]
fn can_apply_a_complete_list_of_records() {
    let mut registry = with(&["a", "b", "c"]);
    let listed = ["a".into(), "c".into()];
    assert_eq!(
        registry.retain_listed(&listed, 60_000),
        RegistryChange::Changed
    );
    assert_eq!(ids(&registry), ["a", "c"]);
}

#[test]
fn can_tell_whether_most_replicas_report_their_start() {
    // Guards against estimates that are kept for the life of a replica although a restart cannot
    // be detected, and against a pool that changes its rules because of draining replicas.
    struct Case {
        name: &'static str,
        reporting: usize,
        silent: usize,
        draining_silent: usize,
        expected: bool,
    }
    let case = |name, reporting, silent, draining_silent, expected| Case {
        name,
        reporting,
        silent,
        draining_silent,
        expected,
    };
    for case in [
        case("no replicas", 0, 0, 0, false),
        case("none", 0, 3, 0, false),
        case("half", 2, 2, 0, false),
        case("two of three", 2, 1, 0, true),
        case("more than half", 3, 2, 0, true),
        case("a single one", 1, 0, 0, true),
        case("all but draining ones", 1, 0, 5, true),
    ] {
        let started = |started_ms, draining| Replica {
            started_ms,
            ..replica("a", draining)
        };
        let mut replicas = vec![started(Some(1), false); case.reporting];
        replicas.extend(vec![started(None, false); case.silent]);
        replicas.extend(vec![started(None, true); case.draining_silent]);
        let expected = case.expected;
        assert_eq!(
            most_report_start(replicas.iter()),
            expected,
            "{}",
            case.name
        );
    }
}
