//! Steps that an entry holds: posts, replacement, limits and idle time.

mod support;

use std::sync::Arc;

use samples::{
    Action, CopyMessage, Cursor, Group, LedgerSettings, PostError, PostOutcome, Step, StepKey,
    Steps,
};
use support::{completion, key, room, starts, step_of, version};

const IDLE_MS: u64 = 1_000;

fn post(steps: &mut Steps, step: &Arc<Step>, cursor: &Cursor) -> Result<PostOutcome, PostError> {
    steps.post(step, &LedgerSettings::default(), cursor, version(1, 1), 0)
}

#[test]
fn can_accept_a_repeated_post_and_refuse_other_content() {
    let step = step_of(1, 4);
    let other = Group {
        prompt: "something else".to_owned(),
        samples: 4,
    };
    let other = Arc::new(Step::new(key(7), vec![other], 64).unwrap());
    let mut steps = Steps::new(IDLE_MS);
    assert_eq!(
        post(&mut steps, &step, &Cursor::start(&step)),
        Ok(PostOutcome::New)
    );
    let later = Cursor::start(&step).with_received([0, 3]);
    assert_eq!(post(&mut steps, &step, &later), Ok(PostOutcome::Known));
    assert_eq!(steps.get_mut(&key(7), 0).unwrap().waiting(), 2);
    let refused = post(&mut steps, &other, &Cursor::start(&other));
    assert_eq!(refused, Err(PostError::OtherContent));
}

#[test]
fn can_replace_an_unused_step_without_mixing_up_its_runs() {
    // A trainer restarts and posts its step again with another prompt. The run of the first
    // post is cancelled, but its result still arrives. The result must not be bound to a slot
    // of the second post, so its run number must not occur there.
    let step = step_of(1, 1);
    let other = Arc::new(Step::new(key(7), step_of(2, 1).groups.clone(), 9).unwrap());
    let settings = LedgerSettings::default();
    let mut steps = Steps::new(IDLE_MS);
    post(&mut steps, &step, &Cursor::start(&step)).unwrap();
    let ledger = steps.get_mut(&key(7), 0).unwrap();
    ledger.dispatch(&room(1, 1, version(1, 1)), 0);
    let old = starts(ledger).pop().unwrap().run;
    let start = Cursor::start(&other);
    let replaced = steps.post(&other, &settings, &start, version(1, 1), 10_000);
    assert_eq!(replaced, Ok(PostOutcome::Replaced));
    let ledger = steps.get_mut(&key(7), 10_000).unwrap();
    assert_eq!(ledger.take_actions(), [Action::Cancel { run: old }]);
    ledger.dispatch(&room(1, 1, version(1, 1)), 10_000);
    ledger.record_completion(old, completion("old", [version(1, 1)]), 10_001);
    let reply = ledger.fetch(&start, version(1, 1), 9, 10_001).unwrap();
    assert_eq!(reply.samples, []);
}

#[test]
fn can_drop_an_unused_step_and_cancel_its_runs() {
    let step = step_of(1, 2);
    let mut steps = Steps::new(IDLE_MS);
    post(&mut steps, &step, &Cursor::start(&step)).unwrap();
    let ledger = steps.get_mut(&key(7), 0).unwrap();
    ledger.dispatch(&room(1, 2, version(1, 1)), 0);
    let runs = starts(ledger);
    assert_eq!(steps.remove_idle(IDLE_MS - 1), []);
    let cancelled = steps.remove_idle(IDLE_MS);
    let all: Vec<Action> = runs.iter().map(|s| Action::Cancel { run: s.run }).collect();
    assert_eq!(cancelled, all);
    assert!(steps.get_mut(&key(7), 0).is_none());
}

// Guards against useless runs for a delivered step. After the reply with the last slots, no
// cursor confirms its arrival; each new version made the samples stale and ran them again, and
// each run kept the step. Only a repeated fetch, after a lost reply, may run them again.
#[test]
fn can_stop_running_slots_of_a_delivered_step() {
    let step = step_of(1, 4);
    let start = Cursor::start(&step);
    let mut steps = Steps::new(IDLE_MS);
    post(&mut steps, &step, &start).unwrap();
    let ledger = steps.find_mut(&key(7)).unwrap();
    ledger.dispatch(&room(1, 4, version(1, 1)), 0);
    for start in starts(ledger) {
        ledger.record_completion(start.run, completion("text", [version(1, 1)]), 1);
    }
    ledger.take_actions();
    let last = ledger.fetch(&start, version(1, 1), 9, 1).unwrap();
    assert!(last.complete);
    for minute in 2..10 {
        ledger.announce(version(1, minute), None, minute);
        ledger.dispatch(&room(1, 4, version(1, minute)), minute);
        assert_eq!(starts(ledger), []);
    }
    let mut lost = ledger.clone();
    let again = lost.fetch(&start, version(1, 9), 9, 10).unwrap();
    lost.dispatch(&room(1, 4, version(1, 9)), 10);
    assert_eq!((again.samples.len(), starts(&mut lost).len()), (0, 4));
    steps.remove_idle(IDLE_MS);
    assert!(steps.find_mut(&key(7)).is_none());
}

// An operator lowers the staleness bound while a step is held. The trainer must not get a
// sample over the new bound, although the step was posted under a higher one.
#[test]
fn can_apply_a_stricter_staleness_bound_to_a_held_step() {
    let step = step_of(1, 2);
    let start = Cursor::start(&step);
    let bound = |staleness_bound| LedgerSettings {
        staleness_bound,
        ..LedgerSettings::default()
    };
    let mut steps = Steps::new(IDLE_MS);
    let posted = steps.post(&step, &bound(2), &start, version(1, 1), 0);
    assert_eq!(posted, Ok(PostOutcome::New));
    let ledger = steps.find_mut(&key(7)).unwrap();
    ledger.dispatch(&room(1, 2, version(1, 1)), 0);
    for start in starts(ledger) {
        ledger.record_completion(start.run, completion("text", [version(1, 1)]), 1);
    }
    ledger.announce(version(1, 3), None, 2);
    steps
        .post(&step, &bound(0), &start, version(1, 3), 3)
        .unwrap();
    let ledger = steps.find_mut(&key(7)).unwrap();
    let reply = ledger.fetch(&start, version(1, 3), 9, 4).unwrap();
    assert_eq!((reply.samples, ledger.waiting()), (vec![], 2));
}

#[test]
fn can_take_over_at_the_second_home_from_copies() {
    // The first home finishes two of three slots and crashes. The second home has copies of the
    // post and both samples. A fetch there must return both at once, and one slot is run.
    let step = step_of(1, 3);
    let start = Cursor::start(&step);
    let mut first = Steps::new(IDLE_MS);
    let mut second = Steps::new(IDLE_MS);
    post(&mut first, &step, &start).unwrap();
    let ledger = first.get_mut(&key(7), 0).unwrap();
    ledger.dispatch(&room(1, 2, version(1, 1)), 0);
    for start in starts(ledger) {
        ledger.record_completion(start.run, completion("text", [version(1, 1)]), 1);
    }
    let sent = serde_json::to_string(&ledger.copies(None, 0)).unwrap();
    let copies: Vec<CopyMessage> = serde_json::from_str(&sent).unwrap();
    // A sample that arrives before its post is dropped; the first home sends it again with the
    // other copies.
    copies.iter().rev().for_each(|copy| second.apply(copy, 1));
    let CopyMessage::Post { step: posted, .. } = &copies[0] else {
        panic!("the first copy is not the post");
    };
    post(&mut second, posted, &start).unwrap();
    (0..2).for_each(|_| copies.iter().for_each(|copy| second.apply(copy, 1)));
    let ledger = second.get_mut(&key(7), 1).unwrap();
    let reply = ledger.fetch(&start, version(1, 1), 9, 1).unwrap();
    assert_eq!((reply.samples.len(), ledger.waiting()), (2, 1));
}

// Guards against one customer filling the entry's memory, which all customers share. A
// customer posts steps without fetching any; posts over its limit must be refused, and
// another customer's post must be accepted.
#[test]
fn can_limit_the_steps_of_one_customer() {
    const STEPS_MAX: u64 = 64;
    let step_for = |customer: &str, number: u64| {
        let key = StepKey {
            customer: customer.parse().unwrap(),
            ..key(number)
        };
        Arc::new(Step::new(key, step_of(1, 1).groups.clone(), 64).unwrap())
    };
    let mut steps = Steps::new(IDLE_MS);
    let mut put = |step: &Arc<Step>| post(&mut steps, step, &Cursor::start(step));
    for number in 0..STEPS_MAX {
        assert_eq!(put(&step_for("evil", number)), Ok(PostOutcome::New));
    }
    assert!(put(&step_for("evil", STEPS_MAX)).is_err());
    assert_eq!(put(&step_for("evil", 0)), Ok(PostOutcome::Known));
    assert_eq!(put(&step_for("office", 0)), Ok(PostOutcome::New));
    steps.remove_idle(IDLE_MS);
    let later = step_for("evil", STEPS_MAX);
    let posted = post(&mut steps, &later, &Cursor::start(&later));
    assert_eq!(posted, Ok(PostOutcome::New));
}

// Like `can_limit_the_steps_of_one_customer`, with few steps and large prompts.
#[test]
fn can_limit_the_prompt_bytes_of_one_customer() {
    const PROMPT_BYTES: usize = 4 << 20;
    const STEPS: u64 = 16;
    let large = |number| {
        let group = Group {
            prompt: "x".repeat(PROMPT_BYTES),
            samples: 1,
        };
        Arc::new(Step::new(key(number), vec![group], 64).unwrap())
    };
    let mut steps = Steps::new(IDLE_MS);
    for number in 0..STEPS {
        let step = large(number);
        assert!(post(&mut steps, &step, &Cursor::start(&step)).is_ok());
    }
    let step = large(STEPS);
    assert!(post(&mut steps, &step, &Cursor::start(&step)).is_err());
    assert!(!steps.find_mut(&key(0)).unwrap().step().groups.is_empty());
}

// A trainer completes steps faster than the idle time removes them. Its posts must not be
// refused: delivered steps are dropped to make room, the least recently used first.
#[test]
fn can_drop_done_steps_of_a_customer_to_make_room() {
    let step_number =
        |number| Arc::new(Step::new(key(number), step_of(1, 1).groups.clone(), 64).unwrap());
    let mut steps = Steps::new(IDLE_MS);
    for number in 0..200 {
        let step = step_number(number);
        let start = Cursor::start(&step);
        let posted = steps.post(
            &step,
            &LedgerSettings::default(),
            &start,
            version(1, 1),
            number,
        );
        assert_eq!(posted, Ok(PostOutcome::New), "step {number}");
        if number == 0 {
            // The trainer does not fetch this step, so it must not be dropped.
            continue;
        }
        let ledger = steps.get_mut(&key(number), number).unwrap();
        ledger.dispatch(&room(1, 1, version(1, 1)), number);
        for start in starts(ledger) {
            ledger.record_completion(start.run, completion("text", [version(1, 1)]), number);
        }
        let reply = ledger.fetch(&start, version(1, 1), 9, number).unwrap();
        assert!(reply.complete);
    }
    assert!(steps.find_mut(&key(0)).is_some());
    assert!(steps.find_mut(&key(1)).is_none());
    assert!(steps.find_mut(&key(199)).is_some());
}
