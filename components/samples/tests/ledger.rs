//! Individual decisions of the ledger.

mod support;

use std::collections::BTreeSet;

use samples::{
    Action, Cursor, Fault, FetchError, Ledger, LedgerSettings, PartialSample, Provenance, RunId,
    Score,
};
use support::{completion, keys, ledger, room, starts, step_of, version};
use types::WeightVersion;

fn bound(staleness_bound: u64) -> LedgerSettings {
    LedgerSettings {
        staleness_bound,
        ..LedgerSettings::default()
    }
}

fn scored() -> LedgerSettings {
    LedgerSettings {
        scored: true,
        ..bound(2)
    }
}

/// Starts the pending slots and completes each run with these versions.
fn finish_all(ledger: &mut Ledger, versions: &[WeightVersion], now_ms: u64) -> Vec<RunId> {
    ledger.dispatch(&room(2, 99, versions[0]), now_ms);
    let runs: Vec<RunId> = starts(ledger).iter().map(|start| start.run).collect();
    let text = format!("generated at {now_ms}");
    for &run in &runs {
        ledger.record_completion(run, completion(&text, versions.iter().copied()), now_ms);
    }
    runs
}

#[test]
fn can_compute_staleness_from_the_oldest_version() {
    struct Case {
        name: &'static str,
        generated_by: Vec<WeightVersion>,
        trainer: WeightVersion,
        delivered: usize,
    }
    let at = version;
    let cases = [
        Case {
            name: "at the bound",
            generated_by: vec![at(1, 3), at(1, 5)],
            trainer: at(1, 5),
            delivered: 2,
        },
        Case {
            name: "over the bound because of the first tokens",
            generated_by: vec![at(1, 3), at(1, 5)],
            trainer: at(1, 6),
            delivered: 0,
        },
        Case {
            name: "newer than a trainer that restored a checkpoint",
            generated_by: vec![at(1, 3)],
            trainer: at(1, 2),
            delivered: 2,
        },
        Case {
            name: "generated before a roll-back",
            generated_by: vec![at(1, 3)],
            trainer: at(2, 3),
            delivered: 0,
        },
    ];
    for case in cases {
        let step = step_of(1, 2);
        let mut ledger = ledger(&step, bound(2), at(1, 3));
        finish_all(&mut ledger, &case.generated_by, 0);
        let reply = ledger
            .fetch(&Cursor::start(&step), case.trainer, 9, 0)
            .unwrap();
        assert_eq!(reply.samples.len(), case.delivered, "{}", case.name);
        let rerun = 2 - case.delivered;
        assert_eq!(ledger.waiting(), rerun as u32, "{}", case.name);
        assert_eq!(ledger.tally().abandoned, rerun as u64, "{}", case.name);
    }
}

#[test]
fn can_rerun_stale_slots_when_a_version_is_announced() {
    let step = step_of(1, 4);
    let mut ledger = ledger(&step, bound(0), version(1, 1));
    ledger.dispatch(&room(1, 2, version(1, 1)), 0);
    let runs = starts(&mut ledger);
    ledger.record_completion(runs[0].run, completion("text", [version(1, 1)]), 5);
    ledger.record_progress(runs[1].run, 3, Some(version(1, 1)), 5);
    ledger.announce(version(1, 2), None, 10);
    let run = runs[1].run;
    assert!(ledger.take_actions().contains(&Action::Cancel { run }));
    assert_eq!((ledger.waiting(), ledger.tally().abandoned), (4, 2));
    // A replica that still serves the old weights would only generate stale samples.
    ledger.dispatch(&room(1, 9, version(1, 1)), 10);
    assert_eq!(starts(&mut ledger), []);
}

#[test]
fn can_return_the_same_samples_to_a_repeated_fetch() {
    let step = step_of(1, 3);
    let mut ledger = ledger(&step, bound(2), version(1, 1));
    finish_all(&mut ledger, &[version(1, 1)], 0);
    let start = Cursor::start(&step);
    let first = ledger.fetch(&start, version(1, 1), 2, 0).unwrap();
    let again = ledger.fetch(&start, version(1, 1), 2, 9).unwrap();
    assert_eq!(first, again);
    let rest = ledger.fetch(&first.cursor, version(1, 1), 9, 9).unwrap();
    assert_eq!((rest.samples.len(), rest.complete), (1, true));
    assert_eq!(ledger.tally().staleness.total(), 2);
}

#[test]
fn can_offer_complete_groups_first() {
    let step = step_of(2, 2);
    let mut ledger = ledger(&step, bound(0), version(1, 1));
    ledger.dispatch(&room(1, 9, version(1, 1)), 0);
    let runs = starts(&mut ledger);
    for position in [0, 2, 3] {
        ledger.record_completion(runs[position].run, completion("text", [version(1, 1)]), 1);
    }
    let reply = ledger
        .fetch(&Cursor::start(&step), version(1, 1), 2, 1)
        .unwrap();
    let groups: BTreeSet<u32> = reply.samples.iter().map(|o| o.sample.slot.group).collect();
    assert_eq!(groups, [1].into());
}

#[test]
fn errors_when_the_trainer_has_missed_a_roll_back() {
    let step = step_of(1, 1);
    let mut ledger = ledger(&step, bound(9), version(1, 4));
    ledger.announce(version(2, 1), None, 0);
    let fetched = ledger.fetch(&Cursor::start(&step), version(1, 4), 1, 0);
    assert_eq!(fetched, Err(FetchError::StaleEpoch(version(2, 1))));
}

#[test]
fn can_bind_one_result_of_a_hedged_slot() {
    // One replica generates tokens at a fraction of the others' rate, so its slot is hedged
    // with the same seed. The hedge ends first and is bound, and the slow run is cancelled.
    // The slow run's late result must not replace the hedge's.
    let step = step_of(1, 32);
    let mut ledger = ledger(&step, bound(0), version(1, 1));
    ledger.dispatch(&room(2, 16, version(1, 1)), 0);
    let runs = starts(&mut ledger);
    let (slow, others) = runs.split_first().unwrap();
    for start in others {
        ledger.record_completion(start.run, completion("quick", [version(1, 1)]), 100);
    }
    ledger.record_progress(slow.run, 2, Some(version(1, 1)), 900);
    ledger.dispatch(&room(2, 1, version(1, 1)), 1_000);
    let hedge = starts(&mut ledger).pop().unwrap();
    assert!(hedge.hedge && hedge.to != slow.to);
    assert_eq!((hedge.slot, hedge.seed), (slow.slot, slow.seed));
    ledger.record_completion(hedge.run, completion("hedge", [version(1, 1)]), 1_100);
    let run = slow.run;
    assert!(ledger.take_actions().contains(&Action::Cancel { run }));
    ledger.record_completion(slow.run, completion("late", [version(1, 1)]), 1_101);
    let reply = ledger
        .fetch(&Cursor::start(&step), version(1, 1), 99, 1_101)
        .unwrap();
    let bound = reply
        .samples
        .iter()
        .find(|o| o.sample.slot == slow.slot)
        .unwrap();
    assert_eq!(
        (reply.samples.len(), bound.sample.text.as_str()),
        (32, "hedge")
    );
}

#[test]
fn can_resume_a_silent_run_from_its_tokens() {
    let step = step_of(1, 1);
    let mut ledger = ledger(&step, bound(1), version(1, 1));
    ledger.dispatch(&room(2, 1, version(1, 1)), 0);
    let first = starts(&mut ledger).pop().unwrap();
    ledger.record_progress(first.run, 4, Some(version(1, 1)), 100);
    ledger.dispatch(&room(2, 1, version(1, 1)), 11_000);
    let run = first.run;
    assert_eq!(ledger.take_actions(), [Action::Stop { run }]);
    let partial = PartialSample {
        text: "to be".to_owned(),
        tokens: vec![1, 2, 3, 4],
        provenance: Provenance::Known([version(1, 1)].into()),
    };
    ledger.record_failure(run, Fault::Moved, Some(partial.clone()), 11_000);
    ledger.dispatch(&room(2, 1, version(1, 1)), 11_000);
    let second = starts(&mut ledger).pop().unwrap();
    assert_eq!((second.resume, second.seed), (Some(partial), first.seed));
    assert_ne!(second.to, first.to);
}

#[test]
fn can_rerun_a_slot_when_the_provenance_is_unknown() {
    let step = step_of(1, 1);
    let mut ledger = ledger(&step, bound(9), version(1, 1));
    ledger.dispatch(&room(1, 1, version(1, 1)), 0);
    let first = starts(&mut ledger).pop().unwrap();
    let mut unknown = completion("text", []);
    unknown.provenance = Provenance::NotKnown;
    ledger.record_completion(first.run, unknown, 10);
    assert_eq!((ledger.waiting(), ledger.tally().unknown_origin), (1, 1));
    // The next run is delayed: one slot would otherwise keep an engine busy that sends no
    // version stamps.
    assert!(ledger.next_due_ms(10).unwrap() > 10);
    ledger.dispatch(&room(1, 1, version(1, 1)), 1_000);
    assert_ne!(starts(&mut ledger).pop().unwrap().seed, first.seed);
}

#[test]
fn can_wait_for_a_failing_scorer_without_new_runs() {
    // The scorer fails for every sample for an hour. No sample may be delivered without its
    // score, and none is run again, since the scorer would fail for a new sample as well.
    let step = step_of(1, 2);
    let mut ledger = ledger(&step, scored(), version(1, 1));
    let runs = finish_all(&mut ledger, &[version(1, 1)], 0);
    for minute in 0..60 {
        let now_ms = minute * 60_000;
        ledger.dispatch(&room(0, 0, version(1, 1)), now_ms);
        runs.iter()
            .for_each(|&run| ledger.record_score_failure(run, now_ms));
    }
    let start = Cursor::start(&step);
    let unscored = ledger.fetch(&start, version(1, 1), 9, 0).unwrap();
    assert_eq!((unscored.samples.len(), ledger.waiting()), (0, 0));
    // A late score is still accepted.
    runs.iter()
        .for_each(|&run| ledger.record_score(run, Score::new(0.5).unwrap()));
    let reply = ledger.fetch(&start, version(1, 1), 9, 0).unwrap();
    assert!(reply.complete && reply.samples.iter().all(|o| o.sample.score.is_some()));
}

#[test]
fn can_rerun_a_slot_whose_sample_alone_cannot_be_scored() {
    let step = step_of(1, 2);
    let mut ledger = ledger(&step, scored(), version(1, 1));
    let runs = finish_all(&mut ledger, &[version(1, 1)], 0);
    ledger.record_score_failure(runs[0], 1);
    ledger.record_score(runs[1], Score::new(0.5).unwrap());
    for minute in 1..5 {
        ledger.record_score_failure(runs[0], minute * 60_000);
    }
    assert_eq!((ledger.waiting(), ledger.tally().unscorable), (1, 1));
}

#[test]
fn can_keep_its_own_sample_when_the_other_home_finishes_too() {
    let step = step_of(1, 1);
    let mut own = ledger(&step, bound(0), version(1, 1));
    let mut other = ledger(&step, bound(0), version(1, 1));
    let mut late = ledger(&step, bound(0), version(1, 1));
    finish_all(&mut own, &[version(1, 1)], 0);
    finish_all(&mut other, &[version(1, 1)], 1);
    late.dispatch(&room(1, 1, version(1, 1)), 0);
    let run = starts(&mut late).pop().unwrap().run;
    let first = own
        .fetch(&Cursor::start(&step), version(1, 1), 1, 2)
        .unwrap();
    for copy in other.copies(Some(Cursor::start(&step).seal(&keys())), 0) {
        if let samples::CopyMessage::Finished { sample, .. } = copy {
            own.adopt(&sample);
            late.adopt(&sample);
            late.adopt(&sample);
        }
    }
    let again = own
        .fetch(&Cursor::start(&step), version(1, 1), 1, 3)
        .unwrap();
    assert_eq!(first, again);
    assert_eq!(late.take_actions(), [Action::Cancel { run }]);
    let copied = late
        .fetch(&Cursor::start(&step), version(1, 1), 1, 3)
        .unwrap();
    assert!(copied.complete);
}

#[test]
fn can_wait_for_a_free_replica_without_a_busy_loop() {
    let step = step_of(1, 4);
    let mut ledger = ledger(&step, bound(0), version(1, 1));
    ledger.dispatch(&room(0, 0, version(1, 1)), 100);
    assert!(ledger.next_due_ms(100).unwrap() > 100);
}

// Guards against a slot that is refused forever: an engine dies between the last token and the
// end of its response, and the next engine refuses to resume from `max_tokens` tokens. The slot
// must be run from its prompt instead of being retried with the same tokens.
#[test]
fn can_restart_a_slot_when_an_engine_refuses_to_resume() {
    let at = version(1, 1);
    let step = step_of(1, 1);
    let mut ledger = ledger(&step, bound(2), at);
    ledger.dispatch(&room(2, 9, at), 0);
    let first = starts(&mut ledger).remove(0);
    let partial = PartialSample {
        text: "a".to_owned(),
        tokens: vec![1; 64],
        provenance: Provenance::Known([at].into()),
    };
    ledger.record_failure(first.run, Fault::Lost, Some(partial), 10);
    ledger.dispatch(&room(2, 9, at), 20);
    let resumed = starts(&mut ledger).remove(0);
    assert!(resumed.resume.is_some());
    ledger.record_failure(resumed.run, Fault::Quarantined, resumed.resume, 30);
    assert_eq!(ledger.blocked(), 0);
    ledger.dispatch(&room(2, 9, at), 30);
    let fresh = starts(&mut ledger).remove(0);
    assert_eq!(fresh.resume, None);
    ledger.record_failure(fresh.run, Fault::Quarantined, None, 40);
    assert_eq!(ledger.blocked(), 1);
}

// Guards against a reply that is too large for a message between entries. A reply of long
// samples holds as many as fit, but at least one; the cursor lists the others as missing.
#[test]
fn can_limit_the_size_of_a_reply() {
    const SAMPLES: u32 = 8;
    struct Case {
        name: &'static str,
        text_bytes: usize,
        delivered: usize,
    }
    let cases = [
        Case {
            name: "short texts",
            text_bytes: 1_000,
            delivered: 8,
        },
        Case {
            name: "some fit",
            text_bytes: 1 << 20,
            delivered: 4,
        },
        Case {
            name: "one text over the limit",
            text_bytes: 5 << 20,
            delivered: 1,
        },
    ];
    let at = version(1, 1);
    for case in cases {
        let step = step_of(1, SAMPLES);
        let mut ledger = ledger(&step, bound(2), at);
        ledger.dispatch(&room(1, 99, at), 0);
        let text = "x".repeat(case.text_bytes);
        for start in starts(&mut ledger) {
            ledger.record_completion(start.run, completion(&text, [at]), 1);
        }
        let start = Cursor::start(&step);
        let reply = ledger.fetch(&start, at, 99, 2).unwrap();
        assert_eq!(reply.samples.len(), case.delivered, "{}", case.name);
        assert_eq!(reply.received as usize, case.delivered, "{}", case.name);
        assert_eq!(reply.complete, case.delivered == SAMPLES as usize);
    }
}

// An operator removes the scorer from the configuration, or adds one, while samples of a step
// wait. Guards against samples that wait forever for a score, and against samples that are
// delivered without one.
#[test]
fn can_turn_scoring_on_or_off_while_samples_wait() {
    let at = version(1, 1);
    let step = step_of(1, 2);
    let start = Cursor::start(&step);
    let mut without_scorer = ledger(&step, scored(), at);
    finish_all(&mut without_scorer, &[at], 1);
    without_scorer.configure(&bound(2));
    assert_eq!(
        without_scorer
            .fetch(&start, at, 9, 2)
            .unwrap()
            .samples
            .len(),
        2
    );

    let mut with_scorer = ledger(&step, bound(2), at);
    finish_all(&mut with_scorer, &[at], 1);
    with_scorer.take_actions();
    with_scorer.configure(&scored());
    assert!(
        with_scorer
            .fetch(&start, at, 9, 2)
            .unwrap()
            .samples
            .is_empty()
    );
    for action in with_scorer.take_actions() {
        if let Action::Score { run, .. } = action {
            with_scorer.record_score(run, Score::new(0.5).unwrap());
        }
    }
    let reply = with_scorer.fetch(&start, at, 9, 3).unwrap();
    let scores = reply
        .samples
        .iter()
        .filter(|offer| offer.sample.score.is_some());
    assert_eq!(scores.count(), 2);
}
