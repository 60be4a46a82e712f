//! The agent's decisions that need no socket.

use adapters::{AnswerHead, AnswerLoss, MalformedPart, NotSentCause, PlatformError};
use bytes::Bytes;
use sidecar::{Change, Shape, Sign, Stage, StreamCheck, Vitals};
use sidecar::{check_document, failure_of, name_call};
use types::{CallId, Cause, RunState};

struct Failing {
    error: PlatformError,
    stage: Stage,
    run: RunState,
    cause: Cause,
}

#[test]
fn errors_say_no_more_than_is_known() {
    let cases = [
        Failing {
            error: PlatformError::NotSent(NotSentCause::Unreachable),
            stage: Stage::Held,
            run: RunState::NotRun,
            cause: Cause::EndpointLost,
        },
        Failing {
            error: PlatformError::NotSent(NotSentCause::DeadlinePassed),
            stage: Stage::Held,
            run: RunState::NotRun,
            cause: Cause::DeadlinePassed,
        },
        Failing {
            error: PlatformError::OutcomeUnknown(AnswerLoss::ClosedBeforeAnswer { reused: false }),
            stage: Stage::Sent,
            run: RunState::Unknown,
            cause: Cause::EndpointLost,
        },
        Failing {
            error: PlatformError::OutcomeUnknown(AnswerLoss::DeadlinePassed),
            stage: Stage::Sent,
            run: RunState::Unknown,
            cause: Cause::DeadlinePassed,
        },
        Failing {
            error: PlatformError::OutcomeUnknown(AnswerLoss::ClosedMidAnswer),
            stage: Stage::Answering,
            run: RunState::Failed,
            cause: Cause::EndpointLost,
        },
        Failing {
            error: PlatformError::OutcomeUnknown(AnswerLoss::NoStatedEnd),
            stage: Stage::Answering,
            run: RunState::Failed,
            cause: Cause::Truncated,
        },
        Failing {
            error: PlatformError::Malformed(MalformedPart::Http),
            stage: Stage::Sent,
            run: RunState::Failed,
            cause: Cause::EndpointError,
        },
    ];
    for case in cases {
        let failure = failure_of(&case.error, case.stage);
        assert_eq!(
            (failure.run, failure.cause),
            (case.run, case.cause),
            "{:?}",
            case.error
        );
    }
}

struct Seen {
    name: &'static str,
    signs: &'static [Sign],
    /// Of the last sign.
    change: Change,
    up: bool,
}

const FIRST: Sign = Sign::Answered { life: Some(1) };
const SECOND: Sign = Sign::Answered { life: Some(2) };
const NOTHING: Change = Change {
    lost: false,
    turned: false,
};
const LOST: Change = Change {
    lost: true,
    turned: false,
};
const TURNED: Change = Change {
    lost: false,
    turned: true,
};

#[test]
fn can_tell_a_crash_from_silence() {
    let cases = [
        Seen {
            name: "the first answer brings it up",
            signs: &[FIRST],
            change: TURNED,
            up: true,
        },
        Seen {
            name: "two misses change nothing",
            signs: &[FIRST, Sign::Silent, Sign::Silent],
            change: NOTHING,
            up: true,
        },
        Seen {
            name: "the third miss takes it down, but it may live",
            signs: &[FIRST, Sign::Silent, Sign::Silent, Sign::Silent],
            change: TURNED,
            up: false,
        },
        Seen {
            name: "a process that is gone is a crash",
            signs: &[FIRST, Sign::Gone],
            change: Change {
                lost: true,
                turned: true,
            },
            up: false,
        },
        Seen {
            name: "a crash is counted once",
            signs: &[FIRST, Sign::Gone, SECOND],
            change: TURNED,
            up: true,
        },
        Seen {
            name: "a restart between two looks is a crash",
            signs: &[FIRST, SECOND],
            change: LOST,
            up: true,
        },
        Seen {
            name: "a restart during silence is a crash",
            signs: &[FIRST, Sign::Silent, Sign::Silent, Sign::Silent, SECOND],
            change: Change {
                lost: true,
                turned: true,
            },
            up: true,
        },
        Seen {
            name: "one that never was up is not lost",
            signs: &[Sign::Gone, Sign::Gone],
            change: NOTHING,
            up: false,
        },
    ];
    for case in cases {
        let mut vitals = Vitals::default();
        let last = case.signs.iter().fold(NOTHING, |_, &sign| vitals.see(sign));
        assert_eq!(
            (last, vitals.is_up()),
            (case.change, case.up),
            "{}",
            case.name
        );
    }
}

struct Whole {
    name: &'static str,
    stream: &'static str,
    end: Result<(), Cause>,
}

#[test]
fn can_tell_a_whole_stream() {
    let cases = [
        Whole {
            name: "finish reason and terminator",
            stream: "data: {\"choices\":[{\"text\":\"a\",\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n",
            end: Ok(()),
        },
        Whole {
            name: "no terminator",
            stream: "data: {\"choices\":[{\"text\":\"a\",\"finish_reason\":\"stop\"}]}\n\n",
            end: Err(Cause::Truncated),
        },
        Whole {
            name: "no finish reason",
            stream: "data: {\"choices\":[{\"text\":\"a\",\"finish_reason\":null}]}\n\ndata: [DONE]\n\n",
            end: Err(Cause::Truncated),
        },
        Whole {
            name: "cancelled at the engine",
            stream: "data: {\"choices\":[{\"text\":\"\",\"finish_reason\":\"abort\"}]}\n\ndata: [DONE]\n\n",
            end: Err(Cause::Truncated),
        },
        Whole {
            name: "not a completion",
            stream: "data: {}\n\n",
            end: Err(Cause::EndpointError),
        },
    ];
    for case in cases {
        let mut check = StreamCheck::new();
        // Byte by byte, as a stream may be split anywhere.
        let pushed = case.stream.bytes().try_for_each(|byte| check.push(&[byte]));
        assert_eq!(pushed.and_then(|()| check.end()), case.end, "{}", case.name);
    }
}

#[test]
fn can_tell_a_whole_document() {
    let cases = [
        (
            r#"{"choices":[{"text":"a","finish_reason":"length"}]}"#,
            Ok(()),
        ),
        (
            r#"{"choices":[{"text":"a","finish_reason":null}]}"#,
            Err(Cause::Truncated),
        ),
        (r#"{"choices":[]}"#, Err(Cause::Truncated)),
        (r#"{"choices":"#, Err(Cause::EndpointError)),
    ];
    for (document, wanted) in cases {
        let body = Bytes::from_static(document.as_bytes());
        assert_eq!(check_document(&body), wanted, "{document}");
    }
}

#[test]
fn can_tell_which_check_an_answer_needs() {
    let head = |status, content_type: &str| AnswerHead {
        status,
        headers: vec![("content-type".to_owned(), content_type.to_owned())],
    };
    let stream = head(200, "text/event-stream; charset=utf-8");
    let document = head(200, "application/json");
    let refusal = head(400, "application/json");
    assert_eq!(Shape::of(true, &stream), Shape::Stream);
    assert_eq!(Shape::of(true, &document), Shape::Document);
    assert_eq!(Shape::of(true, &refusal), Shape::Opaque);
    assert_eq!(Shape::of(false, &stream), Shape::Opaque);
}

#[test]
fn can_name_a_call_whatever_its_caller_wrote() {
    let id = CallId {
        boot: 1,
        counter: 2,
    };
    let body =
        Bytes::from_static(br#"{"model":"office.redacteurs","request_id":"another's","x":[1.5]}"#);
    let model = "redacteurs";
    let named = name_call(&body, model, id).unwrap();
    let document: serde_json::Value = serde_json::from_slice(&named).unwrap();
    assert_eq!(document["request_id"], id.to_string());
    assert_eq!(document["model"], "redacteurs");
    assert_eq!(document["x"][0], 1.5);
    for broken in ["", "[]", "{", "7"] {
        let body = Bytes::from_static(broken.as_bytes());
        assert_eq!(
            name_call(&body, model, id),
            Err(Cause::Malformed),
            "{broken}"
        );
    }
}

checks::seeded! {
    /// However the signs come, an endpoint is counted lost only after it was up, and not
    /// again before it has answered again.
    fn counts_each_crash_once(signs: Vec<u8>) -> bool {
        let mut vitals = Vitals::default();
        let mut answered = false;
        signs.into_iter().all(|sign| {
            let sign = match sign % 4 {
                0 => Sign::Gone,
                1 => Sign::Silent,
                life => Sign::Answered { life: Some(u64::from(life)) },
            };
            let lost = vitals.see(sign).lost;
            let allowed = answered || !lost;
            let answers = matches!(sign, Sign::Answered { .. });
            answered = answers || (answered && !lost);
            allowed
        })
    }
}
