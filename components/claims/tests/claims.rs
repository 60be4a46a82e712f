//! Verdicts, the states of a submission, batches and settings.
#![allow(clippy::unwrap_used)] // clippy.toml exempts test functions only, not their helpers.

use claims::{
    Batch, BatchFull, Body, Claim, ClaimAction, ClaimHolder, ClaimSettings, KeyDigest, Line,
    Outcome, Record, RecordPosition, RequestDigest, Shard, Verdict, shard_of, stream_name,
    writers_of,
};
use types::{CallId, Cause, CustomerName, Failure, RunState, ServiceName};

fn settings() -> ClaimSettings {
    ClaimSettings::default()
}

fn claim(counter: u64, body: &str) -> Claim {
    let customer = CustomerName::new("collective").unwrap();
    let service = ServiceName::new("auction-desk").unwrap();
    Claim {
        key: KeyDigest::of(&customer, "bid-9"),
        request: RequestDigest::of(&customer, &service, "POST", "/bids", body.as_bytes()),
        claim: CallId { boot: 7, counter },
        runs_for_ms: 30_000,
    }
}

fn done(outcome: Outcome) -> Record {
    let Claim { key, claim, .. } = claim(1, "a");
    Record::Done {
        key,
        claim,
        outcome,
    }
}

fn answered(body: &[u8]) -> Record {
    done(Outcome::answered(200, &[], body, &settings()))
}

#[test]
fn can_answer_a_repeat() {
    struct Case {
        name: &'static str,
        after_first: Vec<Record>,
        wait_ms: u64,
        second: Claim,
        verdict: Verdict,
        failure: Option<Failure>,
    }
    let case = |name, after_first, wait_ms, verdict: Verdict, failure| Case {
        name,
        after_first,
        wait_ms,
        second: claim(2, "a"),
        verdict,
        failure,
    };
    let Claim {
        key, claim: first, ..
    } = claim(1, "a");
    let release = Record::Release { key, claim: first };
    let claim_taken = Failure::new(RunState::Unknown, Cause::ClaimTaken);
    let large = vec![b'x'; settings().answer_bytes_max + 1];
    let answered_at = |place| Verdict::Answered {
        status: 200,
        position: place,
    };
    let place = RecordPosition {
        offset: 1,
        index: 0,
    };
    let too_large = Failure::new(RunState::Failed, Cause::TooLarge);
    let lost = Failure::new(RunState::Failed, Cause::EndpointLost);
    let reused = Failure::not_run(Cause::KeyReused);
    let cases = [
        case(
            "runs",
            vec![],
            1,
            Verdict::Running,
            Some(claim_taken.retry_after(500)),
        ),
        case(
            "its holder died",
            vec![],
            30_000,
            Verdict::Lost,
            Some(claim_taken),
        ),
        case(
            "answered",
            vec![answered(b"ok")],
            1,
            answered_at(Some(place)),
            None,
        ),
        case(
            "answered with a body too large to record",
            vec![answered(&large)],
            1,
            answered_at(None),
            Some(too_large),
        ),
        case(
            "failed",
            vec![done(Outcome::Failed(lost))],
            1,
            Verdict::Failed(lost),
            Some(lost),
        ),
        case("released", vec![release.clone()], 1, Verdict::Won, None),
        case(
            "released, with a duplicate of its claim",
            vec![release, Record::Claim(claim(1, "a"))],
            1,
            Verdict::Won,
            None,
        ),
        case(
            "a duplicate of its claim",
            vec![Record::Claim(claim(1, "a"))],
            1,
            Verdict::Running,
            Some(claim_taken.retry_after(500)),
        ),
        case("its key has expired", vec![], 3_600_000, Verdict::Won, None),
        Case {
            second: claim(2, "b"),
            ..case(
                "another request",
                vec![],
                1,
                Verdict::KeyReused,
                Some(reused),
            )
        },
    ];
    for case in cases {
        let mut shard = Shard::new(settings());
        let records = [vec![Record::Claim(claim(1, "a"))], case.after_first].concat();
        for (offset, record) in (0..).zip(records) {
            let text = Line::new(vec![record]).to_json().unwrap();
            shard.apply(offset, &text, 0).unwrap();
        }
        let (key, request) = (case.second.key, case.second.request);
        let early_verdict = shard
            .peek(key, request, case.wait_ms)
            .unwrap_or(Verdict::Won);
        assert_eq!(
            early_verdict, case.verdict,
            "{}: verdict before a claim",
            case.name
        );
        let text = Line::new(vec![Record::Claim(case.second)])
            .to_json()
            .unwrap();
        let verdicts = shard.apply(9, &text, case.wait_ms).unwrap();
        assert_eq!(
            verdicts[0].verdict, case.verdict,
            "{}: verdict on the claim",
            case.name
        );
        assert_eq!(
            case.verdict.failure(&settings()),
            case.failure,
            "{}",
            case.name
        );
    }
}

/// Guards against a run without a claim during an outage of the log. The holder tries one writer
/// after another until its time is over and abandons the claim; a verdict that arrives later has no
/// effect. The caller gets "not run" with a retry delay, and its repeat may run.
#[test]
fn errors_when_the_log_is_unavailable() {
    let mut holder = ClaimHolder::new(claim(1, "a"), settings(), 0);
    assert_eq!(holder.next_action(0), ClaimAction::Send { rank: 0 });
    holder.on_refused(10);
    assert_eq!(holder.next_action(10), ClaimAction::Send { rank: 1 });
    assert_eq!(
        holder.next_action(20),
        ClaimAction::WaitUntil { at_ms: 1_010 }
    );
    let ClaimAction::Abandon(failure) = holder.next_action(5_001) else {
        panic!("the holder did not abandon the claim");
    };
    assert_eq!(
        failure,
        Failure::not_run(Cause::ClaimUnavailable).retry_after(2_000)
    );
    holder.on_verdict(Verdict::Won);
    assert!(holder.start(5_002).is_err());
    assert!(holder.release().is_some() && holder.done(Outcome::Failed(failure)).is_none());
}

/// Guards against a second run: the holder wins, is paused before the hand-over and resumes when
/// its claim is too old to start. The caller gets "not run".
#[test]
fn errors_when_the_winner_resumes_too_late() {
    let mut holder = ClaimHolder::new(claim(1, "a"), settings(), 0);
    holder.on_verdict(Verdict::Won);
    assert_eq!(holder.next_action(10), ClaimAction::Run);
    assert_eq!(holder.start(5_001).unwrap_err().run, RunState::NotRun);
    let mut in_time = ClaimHolder::new(claim(2, "a"), settings(), 0);
    in_time.on_verdict(Verdict::Won);
    assert!(in_time.start(5_000).is_ok() && in_time.release().is_none());
    assert!(in_time.start(5_000).is_err(), "the call was started twice");
}

#[test]
fn can_limit_the_rate_of_appends() {
    let settings = settings();
    assert_eq!(settings.appends_per_s_max(), 160);
    let shards = usize::from(settings.shards);
    // 5% of 6,800 requests per second have a key; each of these appends a claim and an end.
    let (mut batches, mut appends, mut records) = (vec![Batch::new(settings); shards], 0, 0);
    for now_ms in 0..10_000 {
        if now_ms % 3 == 0 {
            let key = KeyDigest::of(&CustomerName::new("office").unwrap(), &now_ms.to_string());
            let batch = &mut batches[usize::from(shard_of(key, settings.shards))];
            batch
                .push(
                    Record::Claim(Claim {
                        key,
                        ..claim(now_ms, "")
                    }),
                    now_ms,
                )
                .unwrap();
            batch.push(answered(b"ok"), now_ms).unwrap();
            records += 2;
        }
        for batch in &mut batches {
            appends += u64::from(batch.flush(now_ms).unwrap().is_some());
            batch.confirm_append();
        }
    }
    println!("{} records/s in {} appends/s", records / 10, appends / 10);
    assert!(
        appends <= 10 * settings.appends_per_s_max() + u64::from(settings.shards * 8),
        "{appends}"
    );
}

/// A caller loses the answer and repeats its call a millisecond later. The record of the call's end
/// follows its claim within the shard's interval and must be appended at once, so that the repeat
/// gets the answer; only a burst of appends waits for the interval.
#[test]
fn can_append_an_end_right_after_its_claim() {
    let mut batch = Batch::new(settings());
    let mut appended = |now_ms| {
        batch.push(answered(b"ok"), now_ms).unwrap();
        let text = batch.flush(now_ms).unwrap();
        batch.confirm_append();
        text.is_some()
    };
    for now_ms in 1_000..1_008 {
        assert!(appended(now_ms), "{now_ms}");
    }
    assert!(!appended(1_008));
    assert!(appended(1_025));
    assert!(!appended(1_026));
}

/// Guards against a claim that holds its key although no holder runs the call. The claim is queued
/// at a slow writer, its holder abandons it, and the release goes through another writer and
/// precedes the claim. The caller was told "not run", so its repeat must be able to run.
#[test]
fn can_claim_a_key_whose_release_precedes_its_claim() {
    let mut shard = Shard::new(settings());
    let Claim { key, claim: id, .. } = claim(1, "a");
    let records = [
        (Record::Release { key, claim: id }, 0),
        (Record::Claim(claim(1, "a")), 100),
        (Record::Claim(claim(2, "a")), 200),
    ];
    let mut won = Vec::new();
    for (offset, (record, now_ms)) in (0..).zip(records) {
        let text = Line::new(vec![record]).to_json().unwrap();
        won.extend(shard.apply(offset, &text, now_ms).unwrap());
    }
    let won: Vec<_> = won.iter().map(|p| (p.claim.counter, &p.verdict)).collect();
    assert_eq!(won, [(2, &Verdict::Won)]);
}

/// Guards against a claim that is appended after its holder abandoned it. An append fails and its
/// records are sent again, but the expired claim is dropped, so that the caller's repeat may run
/// after the outage.
#[test]
fn can_resend_records_and_drop_expired_claims() {
    let waiting_max = 2;
    let mut batch = Batch::new(ClaimSettings {
        waiting_max,
        ..settings()
    });
    batch.push(Record::Claim(claim(1, "a")), 0).unwrap();
    batch.push(answered(b"ok"), 0).unwrap();
    assert_eq!(batch.push(answered(b"ok"), 0), Err(BatchFull::Queued(2)));
    let first = batch.flush(0).unwrap();
    assert_eq!(
        batch.flush(200).unwrap(),
        None,
        "two appends were in flight at the same time"
    );
    batch.retry_append();
    assert_eq!(batch.flush(200).unwrap(), first);
    batch.retry_append();
    let text = batch.flush(5_001).unwrap().unwrap();
    assert_eq!(Line::parse(&text).unwrap().records, [answered(b"ok")]);
    batch.confirm_append();
    assert!(batch.is_empty());
}

#[test]
fn can_read_answers_back_and_refuse_other_lines() {
    for body in [b"{\"won\":true}".as_slice(), &[0, 255, 10]] {
        let text = Line::new(vec![answered(body)]).to_json().unwrap();
        let outcome = Line::parse(&text).unwrap().outcome(0).unwrap();
        let Outcome::Answered { answer, .. } = outcome else {
            panic!("{text}");
        };
        assert_eq!(answer.unwrap().body.bytes().unwrap(), body);
    }
    assert_eq!(Body::Hex("é0".to_owned()).bytes(), None);
    for text in ["", "{}", "{\"form\":2,\"records\":[]}", "{\"form\":1}"] {
        assert!(Line::parse(text).is_err(), "{text}");
    }
}

/// A full table must refuse new claims: removing a live key could let a repeat of its call run a
/// second time. The caller gets "not run".
#[test]
fn errors_when_a_shard_has_no_room_for_a_key() {
    let mut shard = Shard::new(ClaimSettings {
        keys_max: 1,
        ..settings()
    });
    let other = Claim {
        key: KeyDigest::of(&CustomerName::new("office").unwrap(), ""),
        ..claim(2, "")
    };
    for (offset, now_ms, claim, verdict_count) in [
        (0, 0, claim(1, "a"), 1),
        (1, 1, other, 0),
        (2, 3_600_000, other, 0),
        (3, 7_200_000, other, 1),
    ] {
        let text = Line::new(vec![Record::Claim(claim)]).to_json().unwrap();
        assert_eq!(
            shard.apply(offset, &text, now_ms).unwrap().len(),
            verdict_count,
            "{offset}"
        );
        shard.expire(now_ms);
    }
}

#[test]
fn can_check_settings_and_rank_writers() {
    assert!(settings().check(3_610_000).is_ok());
    assert!(settings().check(3_609_999).is_err());
    assert!(
        ClaimSettings {
            shards: 0,
            ..settings()
        }
        .check(u64::MAX)
        .is_err()
    );
    let entries = ["10.0.0.1:7000", "10.0.0.2:7000"].map(|text| text.parse().unwrap());
    let writers = writers_of(3, entries);
    assert_eq!(writers_of(3, entries.into_iter().rev()), writers);
    assert_eq!(stream_name(3), "claims-03");
}
