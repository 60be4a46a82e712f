//! Messages from a step's first home to its second.

#![allow(clippy::unwrap_used)] // clippy.toml allows `unwrap` in test functions, not in their helpers.

mod support;

use std::sync::Arc;

use samples::{
    Action, CopyMessage, Cursor, LedgerSettings, PostOutcome, Step, Steps, split_batches,
};
use support::{completion, key, room, starts, step_of, version};

const IDLE_MS: u64 = 1_000;

/// Creates a first home that holds the step with all samples finished and none fetched.
fn first_home(step: &Arc<Step>) -> Steps {
    let mut steps = Steps::new(IDLE_MS);
    let at = version(1, 1);
    let (settings, start) = (LedgerSettings::default(), Cursor::start(step));
    steps.post(step, &settings, &start, at, 0).unwrap();
    let ledger = steps.find_mut(&key(7)).unwrap();
    ledger.dispatch(&room(1, 99, at), 0);
    for start in starts(ledger) {
        ledger.record_completion(start.run, completion("text", [at]), 1);
    }
    ledger.take_actions();
    steps
}

/// Takes the actions of the step's ledger and returns the messages to the second home.
fn sent_copies(steps: &mut Steps) -> Vec<CopyMessage> {
    let actions = steps.find_mut(&key(7)).unwrap().take_actions();
    let copy = |action| match action {
        Action::Copy(copy) => Some(copy),
        _ => None,
    };
    actions.into_iter().filter_map(copy).collect()
}

// The first home delivers the whole step and crashes. The second home did not receive the
// copies of the samples, but must not run them for a trainer that has them. Only a fetch
// with the trainer's old cursor, after a lost reply, starts the runs there.
#[test]
fn can_stop_running_slots_of_a_delivered_step_at_the_second_home() {
    let step = step_of(1, 3);
    let (at, start) = (version(1, 1), Cursor::start(&step));
    let (mut first, mut second) = (first_home(&step), Steps::new(IDLE_MS));
    let settings = LedgerSettings::default();
    second
        .post_copy(&step, &settings, &start, at, 0, 0)
        .unwrap();
    let reply = first.get_mut(&key(7), 2).unwrap().fetch(&start, at, 9, 2);
    assert!(reply.unwrap().complete);
    sent_copies(&mut first)
        .iter()
        .for_each(|copy| second.apply(copy, 3));
    let ledger = second.find_mut(&key(7)).unwrap();
    ledger.announce(version(1, 2), None, 4);
    ledger.dispatch(&room(1, 99, version(1, 2)), 5);
    assert_eq!((ledger.next_due_ms(5), starts(ledger)), (None, vec![]));
    ledger.fetch(&start, version(1, 2), 9, 6).unwrap();
    ledger.dispatch(&room(1, 99, version(1, 2)), 6);
    assert_eq!(starts(ledger).len(), 3);
}

// Guards against the second home dropping a step in use. A trainer fetches at the first home
// for longer than the idle time; the first home notifies the second one about once a minute.
#[test]
fn can_keep_a_step_at_the_second_home_while_its_trainer_fetches_at_the_first() {
    const MINUTE_MS: u64 = 60_000;
    const STEP_IDLE_MS: u64 = 15 * MINUTE_MS;
    let step = step_of(1, 3);
    let (at, start) = (version(1, 1), Cursor::start(&step));
    let settings = LedgerSettings::default();
    let (mut first, mut second) = (Steps::new(STEP_IDLE_MS), Steps::new(STEP_IDLE_MS));
    first.post(&step, &settings, &start, at, 0).unwrap();
    second
        .post_copy(&step, &settings, &start, at, 0, 0)
        .unwrap();
    for minute in 1..=20 {
        let now_ms = minute * MINUTE_MS;
        let ledger = first.get_mut(&key(7), now_ms).unwrap();
        ledger.fetch(&start, at, 9, now_ms).unwrap();
        ledger.fetch(&start, at, 9, now_ms + 1).unwrap();
        let copies = sent_copies(&mut first);
        assert_eq!(copies.len(), 1, "one notification per minute");
        copies.iter().for_each(|copy| second.apply(copy, now_ms));
        second.remove_idle(now_ms);
    }
    assert!(second.holds(&key(7)));
    second.remove_idle(20 * MINUTE_MS + STEP_IDLE_MS);
    assert!(!second.holds(&key(7)));
}

// Two homes repeatedly lose and regain contact, and send each other their copies each time.
// Copies must not count as use; otherwise a step that its trainer no longer uses would never
// be dropped.
#[test]
fn can_drop_an_unused_step_although_homes_copy_it_to_each_other() {
    let step = step_of(1, 2);
    let (at, settings) = (version(1, 1), LedgerSettings::default());
    let start = Cursor::start(&step);
    let mut homes = [first_home(&step), Steps::new(IDLE_MS)];
    for now_ms in (100..3 * IDLE_MS).step_by(100) {
        for from in 0..homes.len() {
            let Some(unused_ms) = homes[from].unused_ms(&key(7), now_ms) else {
                continue;
            };
            let copies = homes[from].find_mut(&key(7)).unwrap();
            let copies = copies.copies(None, unused_ms);
            let to = &mut homes[1 - from];
            let used_ms = now_ms - unused_ms;
            let outcome = to.post_copy(&step, &settings, &start, at, used_ms, now_ms);
            assert_ne!(outcome, Ok(PostOutcome::Replaced));
            copies.iter().for_each(|copy| to.apply(copy, now_ms));
        }
        for home in &mut homes {
            home.remove_idle(now_ms);
            assert!(now_ms < IDLE_MS || !home.holds(&key(7)), "at {now_ms} ms");
        }
    }
}

#[test]
fn can_split_copies_into_batches_by_bytes() {
    struct Case {
        name: &'static str,
        bytes: Vec<usize>,
        batches: Vec<Vec<usize>>,
    }
    let cases = [
        Case {
            name: "empty queue",
            bytes: vec![],
            batches: vec![],
        },
        Case {
            name: "all in one batch",
            bytes: vec![3, 3, 4],
            batches: vec![vec![3, 3, 4]],
        },
        Case {
            name: "two batches in order",
            bytes: vec![6, 5, 1],
            batches: vec![vec![6], vec![5, 1]],
        },
        Case {
            name: "an item over the limit gets its own batch",
            bytes: vec![1, 99, 1],
            batches: vec![vec![1], vec![99], vec![1]],
        },
    ];
    for case in cases {
        let batches = split_batches(case.bytes, |&bytes| bytes, 10);
        assert_eq!(batches, case.batches, "{}", case.name);
    }
}
