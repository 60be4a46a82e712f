//! Ejection of failing replicas, the maximum share of ejected replicas, and probing.

#![allow(clippy::panic, clippy::unwrap_used)]

mod common;

use common::{here, node, replicas, table};
use routing::{Choice, Outcome, Requirements, Settings, SplitMix64, Table, choose_replica};
use types::NodeId;

fn requirements(may_probe: bool) -> Requirements<'static> {
    Requirements {
        may_probe,
        ..Requirements::default()
    }
}

/// Sends calls until those to `wanted` have failed `times` times; calls to other replicas are
/// answered.
fn fail(table: &Table, wanted: NodeId, times: u32, now_ms: u64) {
    let mut failed = 0;
    for random in 0..10_000 {
        let choice = choose_replica(table, &requirements(false), random, now_ms).unwrap();
        let outcome = match choice.node == wanted {
            true => Outcome::Failed,
            false => Outcome::Answered,
        };
        failed += u32::from(choice.node == wanted);
        choice.finish(table, outcome, now_ms);
        if failed == times {
            return;
        }
    }
    panic!("{wanted} was not chosen {times} times");
}

fn hits(table: &Table, wanted: NodeId, now_ms: u64, may_probe: bool) -> usize {
    let one = |random| choose_replica(table, &requirements(may_probe), random, now_ms).unwrap();
    let held: Vec<Choice> = (0..100).map(one).collect();
    held.iter().filter(|choice| choice.node == wanted).count()
}

#[test]
fn ejects_after_consecutive_failures_only() {
    let table = table(Settings::default(), replicas(4));
    fail(&table, node(1), 2, 0);
    assert_eq!(table.ejected_count(), 0);
    let one = choose_replica(&table, &requirements(false), 0, 0).unwrap();
    one.finish(&table, Outcome::Inconclusive, 0);
    fail(&table, node(1), 1, 0);
    assert_eq!(table.ejected_count(), 1);
    assert_eq!(hits(&table, node(1), 0, true), 0);
}

// Guards against sending more than one call to a replica that may still be failing. A replica is
// ejected for 2 s after three failures. One idempotent call probes it and fails, so the ejection
// time doubles; the next probe is answered and the replica is restored.
#[test]
fn one_call_at_a_time_probes_and_a_failed_probe_doubles_the_time() {
    let table = table(Settings::default(), replicas(4));
    fail(&table, node(1), 3, 0);
    assert_eq!(hits(&table, node(1), 1_999, true), 0);
    assert_eq!(
        hits(&table, node(1), 2_000, false),
        0,
        "a call that may not be retried must not probe"
    );
    assert_eq!(hits(&table, node(1), 2_000, true), 1);
    let probe = |now_ms| {
        let mut choices = (0..1_000)
            .map(|random| choose_replica(&table, &requirements(true), random, now_ms).unwrap());
        choices.find(|choice| choice.node == node(1)).unwrap()
    };
    probe(2_000).finish(&table, Outcome::Failed, 2_000);
    assert_eq!(hits(&table, node(1), 5_999, true), 0);
    drop(probe(6_000));
    assert_eq!(
        table.ejected_count(),
        1,
        "a cancelled probe must not restore the replica"
    );
    probe(6_000).finish(&table, Outcome::Answered, 6_000);
    assert_eq!(table.ejected_count(), 0);
    assert!(hits(&table, node(1), 6_000, false) > 10);
}

// Guards against refusing all calls in an outage of the whole service. Every replica fails, but
// only half of them may be ejected; with all ejected, calls would be refused although some
// replicas may have recovered.
#[test]
fn an_outage_of_all_replicas_ejects_at_most_the_configured_share() {
    let settings = Settings {
        eject_share_permille: 500,
        ..Settings::default()
    };
    let table = table(settings, replicas(5));
    for random in 0..1_000 {
        let choice = choose_replica(&table, &requirements(true), random, 0).unwrap();
        assert!(!choice.is_last_resort);
        choice.finish(&table, Outcome::Failed, 0);
    }
    assert_eq!(table.ejected_count(), 2);
    let smaller = table.rebuild(replicas(2), &here(0), 0);
    assert!(
        smaller.ejected_count() <= 1,
        "the maximum share must also hold after the service shrinks"
    );
}

// Guards against a needless refusal. The only replica that was not tried is ejected; it may answer
// nevertheless, whereas a refusal is a certain failure.
#[test]
fn an_ejected_replica_is_the_last_resort() {
    let table = table(Settings::default(), replicas(2));
    fail(&table, node(1), 3, 0);
    let tried = [node(0)];
    let requirements = Requirements {
        tried: &tried,
        ..Requirements::default()
    };
    let choice = choose_replica(&table, &requirements, 0, 0).unwrap();
    assert_eq!((choice.node, choice.is_last_resort), (node(1), true));
}

checks::seeded! {
    fn ejected_replicas_never_exceed_the_configured_share(seed: u64, count: u16, share: u32) -> bool {
        let (count, share) = (1 + count % 12, share % 1_001);
        let settings = Settings {
            eject_share_permille: share,
            ..Settings::default()
        };
        let mut table = table(settings, replicas(count));
        let mut rng = SplitMix64::new(seed);
        let mut held = Vec::new();
        for now_ms in (0..20_000).step_by(50) {
            held.push(choose_replica(&table, &requirements(true), rng.next_u64(), now_ms).unwrap());
            if held.len() > 4 {
                let ended: Choice = held.remove(rng.below(4));
                let outcomes = [Outcome::Failed, Outcome::Failed, Outcome::Answered, Outcome::Inconclusive];
                ended.finish(&table, outcomes[rng.below(4)], now_ms);
            }
            if rng.below(20) == 0 {
                let alive = 1 + rng.below(usize::from(count)) as u16;
                table = table.rebuild(replicas(alive), &here(0), now_ms);
            }
            if table.ejected_count() * 1_000 > table.replica_states().len() * share as usize {
                return false;
            }
        }
        true
    }
}
