//! Which replica is chosen for a call, and how its outstanding work is counted.

#![allow(clippy::panic, clippy::unwrap_used)]

mod common;

use std::sync::Arc;

use common::{domain, here, node, replica, replicas, report, spread, table};
use routing::{
    Choice, ChoiceError, Policy, Replica, Requirements, Settings, Table, Work, choose_replica,
    choose_subset,
};
use types::{Cause, Failure, NodeId, WeightVersion};

fn version(version: u64) -> WeightVersion {
    WeightVersion { epoch: 1, version }
}

fn hosting(number: u16, weights: u64) -> Replica {
    Replica {
        weights: Some(version(weights)),
        ..replica(number)
    }
}

fn leaving(number: u16) -> Replica {
    Replica {
        leaving: true,
        ..replica(number)
    }
}

#[test]
fn chooses_only_replicas_that_meet_the_requirements() {
    struct Case {
        name: &'static str,
        replicas: Vec<Replica>,
        tried: Vec<NodeId>,
        min_version: Option<WeightVersion>,
        expected: Result<NodeId, ChoiceError>,
    }
    let case = |name, replicas: &[Replica], tried: &[NodeId], min_version, expected| Case {
        name,
        replicas: replicas.to_vec(),
        tried: tried.to_vec(),
        min_version,
        expected,
    };
    let (all_leave, one_stays) = (
        [leaving(0), leaving(1)],
        [leaving(0), replica(1), leaving(2)],
    );
    let versions = [hosting(0, 3), hosting(1, 5), hosting(2, 2)];
    let too_old = Err(ChoiceError::Version(version(4)));
    let wanted = Some(version(4));
    let (two, one) = ([node(0), node(2)], [node(0)]);
    let cases = [
        case(
            "errors without replicas",
            &[],
            &[],
            None,
            Err(ChoiceError::Empty),
        ),
        case(
            "can choose the only replica that is not leaving",
            &one_stays,
            &[],
            None,
            Ok(node(1)),
        ),
        case(
            "errors when every replica is leaving",
            &all_leave,
            &[],
            None,
            Err(ChoiceError::Leaving),
        ),
        case(
            "can choose the replica not tried yet",
            &replicas(3),
            &two,
            None,
            Ok(node(1)),
        ),
        case(
            "errors when all untried replicas are leaving",
            &[replica(0), leaving(1)],
            &one,
            None,
            Err(ChoiceError::Tried),
        ),
        case(
            "can choose a later version than required",
            &versions,
            &[],
            wanted,
            Ok(node(1)),
        ),
        case(
            "errors when all versions are too old",
            &[hosting(0, 3), replica(1)],
            &[],
            wanted,
            too_old,
        ),
    ];
    for case in cases {
        for policy in Policy::ALL {
            let settings = Settings {
                policy,
                ..Settings::default()
            };
            let table = table(settings, case.replicas.clone());
            let requirements = Requirements {
                tried: &case.tried,
                min_version: case.min_version,
                ..Requirements::default()
            };
            for random in 0..50 {
                let chosen =
                    choose_replica(&table, &requirements, random, 0).map(|choice| choice.node);
                assert_eq!(
                    chosen,
                    case.expected,
                    "{} by {}",
                    case.name,
                    policy.as_str()
                );
            }
        }
    }
}

#[test]
fn a_choice_error_means_that_the_call_was_not_run() {
    let cases = [
        (ChoiceError::Empty, Cause::NoEndpoint),
        (ChoiceError::Tried, Cause::NoEndpoint),
        (ChoiceError::Leaving, Cause::Leaving),
        (ChoiceError::Version(version(1)), Cause::Stale),
    ];
    for (error, cause) in cases {
        assert_eq!(Failure::from(error), Failure::not_run(cause));
    }
}

fn choices(table: &Table, count: u64) -> Vec<Choice> {
    let one = |random| choose_replica(table, &Requirements::default(), random, 0).unwrap();
    (0..count).map(one).collect()
}

fn calls(table: &Table) -> Vec<u32> {
    let slots = table.replica_states().iter();
    slots.map(|slot| slot.counters().calls()).collect()
}

#[test]
fn load_outweighs_the_preference_for_the_own_failure_domain() {
    let table = table(Settings::default(), (0..6).map(spread).collect());
    let few = choices(&table, 2);
    let same_domain = |choice: &Choice| [node(0), node(3)].contains(&choice.node);
    assert!(
        few.iter().all(same_domain),
        "idle replicas of the own failure domain must be chosen first"
    );
    let _many = choices(&table, 60);
    let calls = calls(&table);
    assert!(calls.iter().all(|&calls| calls >= 7), "{calls:?}");
    assert!(calls[0] + calls[3] > 62 / 3, "{calls:?}");
}

#[test]
fn another_region_is_used_only_under_load() {
    let far = Replica {
        region: types::Region::new("kochi").unwrap(),
        failure_domain: domain("aluva"),
        ..replica(1)
    };
    let table = table(Settings::default(), vec![replica(0), far]);
    let mut held = choices(&table, 5);
    assert_eq!(calls(&table), [5, 0]);
    held.extend(choices(&table, 40));
    assert!(calls(&table)[1] > 10);
}

#[test]
fn dropping_a_choice_resets_the_counters() {
    let table = table(Settings::default(), replicas(1));
    let requirements = Requirements {
        work: Work {
            prompt_tokens: 100,
            max_new_tokens: 20,
        },
        ..Requirements::default()
    };
    let choice = choose_replica(&table, &requirements, 0, 0).unwrap();
    let counters = table.replica_states()[0].counters();
    let seen = || {
        (
            counters.calls(),
            counters.prompt_tokens(),
            counters.tokens(),
        )
    };
    assert_eq!(seen(), (1, 100, 120));
    choice.outstanding.record_answer_start();
    choice.outstanding.record_answer_start();
    assert_eq!(seen(), (1, 0, 120));
    drop(choice);
    assert_eq!(seen(), (0, 0, 0));
}

#[test]
fn counters_outlive_a_table_but_not_an_incarnation() {
    let before = table(Settings::default(), replicas(2));
    let held = choices(&before, 10);
    let mut next = replicas(2);
    next[1].node.incarnation.0 += 1;
    let after = before.rebuild(next, &here(0), 100);
    assert_eq!(calls(&after)[0], calls(&before)[0]);
    assert_eq!(calls(&after)[1], 0);
    assert_eq!(after.replica_states()[1].counters().first_seen_ms(), 100);
    drop(held);
    assert_eq!(calls(&after), [0, 0]);
}

// Guards against counting own calls twice. This entry has 8 calls at the first replica, and the
// report of that replica includes them. If both counted, the next call would go to the second
// replica, which is busier with calls of other entries.
#[test]
fn a_report_does_not_count_own_calls_twice() {
    let settings = Settings {
        report_fresh_ms: 1_000_000,
        ..Settings::default()
    };
    let before = table(settings, replicas(1));
    let _held = choices(&before, 8);
    let mut next = replicas(2);
    next[0].report = Some(report(8, 1_000));
    next[1].report = Some(report(12, 1_000));
    let after = before.rebuild(next, &here(0), 1_500);
    let choice = choose_replica(&after, &Requirements::default(), 1, 1_500).unwrap();
    assert_eq!(choice.node, node(0));
}

// Guards against sending all calls to a new replica. Its counters are idle, so without slow start
// it would get every call until it is as busy as the others, although its caches are empty.
#[test]
fn a_new_replica_gets_its_share_gradually() {
    let settings = Arc::new(Settings {
        slow_start_ms: 10_000,
        ..Settings::default()
    });
    let old = Table::empty(settings).rebuild(replicas(3), &here(0), 0);
    let _held = choices(&old, 30);
    let share_at = |age_ms: u64| {
        let table = old.rebuild(replicas(4), &here(0), 100_000);
        let one = |random| {
            choose_replica(&table, &Requirements::default(), random, 100_000 + age_ms).unwrap()
        };
        let held: Vec<Choice> = (0..40).map(one).collect();
        held.iter().filter(|choice| choice.node == node(3)).count()
    };
    let shares = [share_at(0), share_at(5_000), share_at(10_000)];
    println!("calls of 40 to a replica of age 0, 5 and 10 s: {shares:?}");
    assert!(
        shares[0] <= 3 && shares[0] < shares[1] && shares[1] < shares[2],
        "{shares:?}"
    );
}

checks::seeded! {
    fn outstanding_calls_equal_the_choices_held(randoms: Vec<u64>, held: usize) -> bool {
        let table = table(Settings::default(), (0..5).map(spread).collect());
        let mut choices: Vec<Choice> = Vec::new();
        for random in randoms {
            choices.push(choose_replica(&table, &Requirements::default(), random, 0).unwrap());
            if choices.len() > held % 8 {
                choices.remove(0);
            }
        }
        let counted: u32 = calls(&table).iter().sum();
        let matches = counted as usize == choices.len();
        drop(choices);
        matches && calls(&table) == [0; 5]
    }

    fn a_new_replica_changes_at_most_one_member_of_a_subset(entry: u16, count: u16) -> bool {
        let (entry, count) = (node(entry % 100), 20 + count % 100);
        let of = |count| choose_subset(entry, replicas(count), 16);
        let (before, after) = (of(count), of(count + 1));
        let kept = before.iter().filter(|replica| after.contains(replica)).count();
        before.len() == 16 && after.len() == 16 && kept >= 15
    }
}
