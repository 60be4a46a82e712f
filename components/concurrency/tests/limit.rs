//! The limit on calls in flight at one replica.

use concurrency::ConcurrencyLimit;

const SLOTS: u32 = 6;
const USUAL_US: u64 = 25_000;

/// Records `count` answers of `took_us`, one every 10 ms from `now_ms`; returns the time after them.
fn answers(limit: &mut ConcurrencyLimit, count: u64, took_us: u64, now_ms: u64) -> u64 {
    for at in 0..count {
        let now_ms = now_ms + at * 10;
        limit.record_answer("quotes", took_us, SLOTS, now_ms, now_ms);
    }
    now_ms + count * 10
}

#[test]
fn the_limit_follows_what_the_replica_shows() {
    struct Case {
        /// What the limit does.
        name: &'static str,
        run: fn(&mut ConcurrencyLimit) -> u64,
        calls: u32,
    }
    let cases = [
        // Guards against calls that wait although nothing shows that the replica is full.
        Case {
            name: "begins at the slots",
            run: |_| 0,
            calls: SLOTS,
        },
        // Guards against a limit that a full replica does not lower.
        Case {
            name: "halves what was in use at a refusal",
            run: |limit| {
                limit.record_refusal(4, SLOTS, 100, 101, 0);
                101
            },
            calls: 2,
        },
        // Guards against a burst of refusals that counts as several.
        Case {
            name: "falls once for calls that were in flight together",
            run: |limit| {
                (0..6).for_each(|_| limit.record_refusal(6, SLOTS, 100, 101, 0));
                101
            },
            calls: 3,
        },
        // Guards against a replica that gets no call any more.
        Case {
            name: "never falls below one",
            run: |limit| {
                (1..20).for_each(|at| limit.record_refusal(1, SLOTS, at * 10, at * 10 + 1, 0));
                191
            },
            calls: 1,
        },
        // Guards against one long call that lowers the limit.
        Case {
            name: "stays after one slow answer",
            run: |limit| {
                let now_ms = answers(limit, 10, USUAL_US, 0);
                answers(limit, 1, USUAL_US * 20, now_ms)
            },
            calls: SLOTS,
        },
        // Guards against a congested replica that answers late and refuses nothing.
        Case {
            name: "falls when answers stay slow",
            run: |limit| {
                let now_ms = answers(limit, 10, USUAL_US, 0);
                answers(limit, 12, USUAL_US * 5, now_ms)
            },
            calls: 1,
        },
        // Guards against routes with long calls that look like congestion.
        Case {
            name: "compares each route with itself",
            run: |limit| {
                for at in 0..40 {
                    limit.record_answer("quotes", USUAL_US, SLOTS, at * 10, at * 10);
                    limit.record_answer("rewards", USUAL_US * 8, SLOTS, at * 10, at * 10);
                }
                400
            },
            calls: SLOTS,
        },
        // Guards against a limit that rises so fast that calls are refused again at once.
        Case {
            name: "rises from one to two calls within fifteen answers",
            run: |limit| {
                limit.record_refusal(2, SLOTS, 100, 101, 0);
                answers(limit, 15, USUAL_US, 102)
            },
            calls: 2,
        },
        // Guards against a front with few calls that keeps an old limit for ever.
        Case {
            name: "rises by one each second without calls",
            run: |limit| {
                limit.record_refusal(2, SLOTS, 100, 101, 0);
                3_101
            },
            calls: 4,
        },
        // Guards against more calls than the replica can run.
        Case {
            name: "never rises above the slots",
            run: |limit| {
                limit.record_refusal(6, SLOTS, 100, 101, 0);
                answers(limit, 500, USUAL_US, 200)
            },
            calls: SLOTS,
        },
    ];
    for case in cases {
        let mut limit = ConcurrencyLimit::default();
        let now_ms = (case.run)(&mut limit);
        assert_eq!(limit.calls(SLOTS, now_ms), case.calls, "{}", case.name);
    }
}

/// Guards against calls that a full replica refuses again and again, and against a pause that lasts
/// although the replica has a free slot.
#[test]
fn a_replica_that_refused_a_call_is_paused() {
    let mut limit = ConcurrencyLimit::default();
    let paused_for = |limit: &ConcurrencyLimit, now_ms: u64| {
        (now_ms..)
            .take_while(|now_ms| limit.is_paused(*now_ms))
            .count()
    };
    let mut refuse = |now_ms, random| {
        limit.record_refusal(1, SLOTS, now_ms, now_ms, random);
        paused_for(&limit, now_ms)
    };
    assert!(!ConcurrencyLimit::default().is_paused(0));
    let pauses = [refuse(100, 0), refuse(200, 0), refuse(300, 0)];
    assert_eq!(pauses, [5, 10, 20]);
    (0..40).for_each(|at| {
        refuse(400 + at, 0);
    });
    assert_eq!(
        refuse(1_000, 159),
        80 + 159,
        "the longest pause, the latest of those refused together"
    );
    limit.record_answer("quotes", USUAL_US, SLOTS, 1_000, 1_010);
    assert!(!limit.is_paused(1_010), "an answer leaves a slot free");
}

/// Guards against a record with no slots, for which no call would ever be sent.
#[test]
fn a_replica_without_slots_takes_one_call() {
    assert_eq!(ConcurrencyLimit::default().calls(0, 0), 1);
}

checks::seeded! {
    /// Guards against a limit out of its bounds after any order of events.
    fn the_limit_stays_between_one_and_the_slots(events: Vec<(u8, u16)>) -> bool {
        let mut limit = ConcurrencyLimit::default();
        let mut now_ms = 0;
        events.into_iter().all(|(kind, value)| {
            now_ms += u64::from(kind);
            let sent_ms = now_ms.saturating_sub(u64::from(value));
            match kind % 3 {
                0 => limit.record_answer("a", u64::from(value) * 100, SLOTS, sent_ms, now_ms),
                1 => limit.record_refusal(u32::from(value), SLOTS, sent_ms, now_ms, 7),
                _ => limit.record_late(SLOTS, sent_ms, now_ms),
            }
            (1..=SLOTS).contains(&limit.calls(SLOTS, now_ms))
        })
    }
}
