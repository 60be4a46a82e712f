//! Decisions of the agent that need no network.

use adapters::{AnswerHead, AnswerLoss, MalformedPart, NotSentCause, PlatformError};
use bytes::Bytes;
use sidecar::{AnswerFormat, CheckResult, HealthChange, HealthState, Stage, StreamCheck};
use sidecar::{check_document, failure_of, set_model_and_call_id};
use types::{CallId, Cause, RunState};

struct FailureCase {
    error: PlatformError,
    stage: Stage,
    run: RunState,
    cause: Cause,
}

#[test]
fn failures_claim_no_more_than_is_known() {
    let cases = [
        FailureCase {
            error: PlatformError::NotSent(NotSentCause::Unreachable),
            stage: Stage::NotSent,
            run: RunState::NotRun,
            cause: Cause::EndpointLost,
        },
        FailureCase {
            error: PlatformError::NotSent(NotSentCause::DeadlinePassed),
            stage: Stage::NotSent,
            run: RunState::NotRun,
            cause: Cause::DeadlinePassed,
        },
        FailureCase {
            error: PlatformError::OutcomeUnknown(AnswerLoss::ClosedBeforeAnswer { reused: false }),
            stage: Stage::Sent,
            run: RunState::Unknown,
            cause: Cause::EndpointLost,
        },
        FailureCase {
            error: PlatformError::OutcomeUnknown(AnswerLoss::DeadlinePassed),
            stage: Stage::Sent,
            run: RunState::Unknown,
            cause: Cause::DeadlinePassed,
        },
        FailureCase {
            error: PlatformError::OutcomeUnknown(AnswerLoss::ClosedMidAnswer),
            stage: Stage::Answering,
            run: RunState::Failed,
            cause: Cause::EndpointLost,
        },
        FailureCase {
            error: PlatformError::OutcomeUnknown(AnswerLoss::NoStatedEnd),
            stage: Stage::Answering,
            run: RunState::Failed,
            cause: Cause::Truncated,
        },
        FailureCase {
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

struct HealthCase {
    name: &'static str,
    results: &'static [CheckResult],
    /// Effect of the last result.
    change: HealthChange,
    up: bool,
}

const FIRST_LIFE: CheckResult = CheckResult::Answered { life: Some(1) };
const SECOND_LIFE: CheckResult = CheckResult::Answered { life: Some(2) };
const NO_CHANGE: HealthChange = HealthChange {
    crashed: false,
    up_changed: false,
};
const CRASHED: HealthChange = HealthChange {
    crashed: true,
    up_changed: false,
};
const UP_CHANGED: HealthChange = HealthChange {
    crashed: false,
    up_changed: true,
};

#[test]
fn can_distinguish_a_crash_from_silence() {
    let cases = [
        HealthCase {
            name: "the first answer brings the endpoint up",
            results: &[FIRST_LIFE],
            change: UP_CHANGED,
            up: true,
        },
        HealthCase {
            name: "two misses change nothing",
            results: &[FIRST_LIFE, CheckResult::NoAnswer, CheckResult::NoAnswer],
            change: NO_CHANGE,
            up: true,
        },
        HealthCase {
            name: "the third miss takes the endpoint down without counting a crash",
            results: &[
                FIRST_LIFE,
                CheckResult::NoAnswer,
                CheckResult::NoAnswer,
                CheckResult::NoAnswer,
            ],
            change: UP_CHANGED,
            up: false,
        },
        HealthCase {
            name: "an address without a listener is a crash",
            results: &[FIRST_LIFE, CheckResult::Unreachable],
            change: HealthChange {
                crashed: true,
                up_changed: true,
            },
            up: false,
        },
        HealthCase {
            name: "a crash is counted once",
            results: &[FIRST_LIFE, CheckResult::Unreachable, SECOND_LIFE],
            change: UP_CHANGED,
            up: true,
        },
        HealthCase {
            name: "a restart between two checks is a crash",
            results: &[FIRST_LIFE, SECOND_LIFE],
            change: CRASHED,
            up: true,
        },
        HealthCase {
            name: "a restart during silence is a crash",
            results: &[
                FIRST_LIFE,
                CheckResult::NoAnswer,
                CheckResult::NoAnswer,
                CheckResult::NoAnswer,
                SECOND_LIFE,
            ],
            change: HealthChange {
                crashed: true,
                up_changed: true,
            },
            up: true,
        },
        HealthCase {
            name: "an endpoint that was never up is not counted as crashed",
            results: &[CheckResult::Unreachable, CheckResult::Unreachable],
            change: NO_CHANGE,
            up: false,
        },
    ];
    for case in cases {
        let mut health_state = HealthState::default();
        let last = case
            .results
            .iter()
            .fold(NO_CHANGE, |_, &result| health_state.record(result));
        assert_eq!(
            (last, health_state.is_up()),
            (case.change, case.up),
            "{}",
            case.name
        );
    }
}

struct StreamCase {
    name: &'static str,
    stream: &'static str,
    end: Result<(), Cause>,
}

#[test]
fn can_recognize_a_complete_stream() {
    let cases = [
        StreamCase {
            name: "finish reason and terminator",
            stream: "data: {\"choices\":[{\"text\":\"a\",\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n",
            end: Ok(()),
        },
        StreamCase {
            name: "no terminator",
            stream: "data: {\"choices\":[{\"text\":\"a\",\"finish_reason\":\"stop\"}]}\n\n",
            end: Err(Cause::Truncated),
        },
        StreamCase {
            name: "no finish reason",
            stream: "data: {\"choices\":[{\"text\":\"a\",\"finish_reason\":null}]}\n\ndata: [DONE]\n\n",
            end: Err(Cause::Truncated),
        },
        StreamCase {
            name: "cancelled at the engine",
            stream: "data: {\"choices\":[{\"text\":\"\",\"finish_reason\":\"abort\"}]}\n\ndata: [DONE]\n\n",
            end: Err(Cause::Truncated),
        },
        StreamCase {
            name: "not a completion",
            stream: "data: {}\n\n",
            end: Err(Cause::EndpointError),
        },
    ];
    for case in cases {
        let mut check = StreamCheck::new();
        // One byte at a time, as a stream may be split anywhere.
        let pushed = case.stream.bytes().try_for_each(|byte| check.push(&[byte]));
        assert_eq!(
            pushed.and_then(|()| check.finish()),
            case.end,
            "{}",
            case.name
        );
    }
}

#[test]
fn can_recognize_a_complete_document() {
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
fn can_determine_the_format_of_an_answer() {
    let head = |status, content_type: &str| AnswerHead {
        status,
        headers: vec![("content-type".to_owned(), content_type.to_owned())],
    };
    let stream = head(200, "text/event-stream; charset=utf-8");
    let document = head(200, "application/json");
    let refusal = head(400, "application/json");
    assert_eq!(AnswerFormat::of(true, &stream), AnswerFormat::Stream);
    assert_eq!(AnswerFormat::of(true, &document), AnswerFormat::Document);
    assert_eq!(AnswerFormat::of(true, &refusal), AnswerFormat::Opaque);
    assert_eq!(AnswerFormat::of(false, &stream), AnswerFormat::Opaque);
}

#[test]
fn can_overwrite_model_and_request_id_in_a_body() {
    let id = CallId {
        boot: 1,
        counter: 2,
    };
    let body =
        Bytes::from_static(br#"{"model":"office.redacteurs","request_id":"another's","x":[1.5]}"#);
    let model = "redacteurs";
    let named = set_model_and_call_id(&body, model, id).unwrap();
    let document: serde_json::Value = serde_json::from_slice(&named).unwrap();
    assert_eq!(document["request_id"], id.to_string());
    assert_eq!(document["model"], "redacteurs");
    assert_eq!(document["x"][0], 1.5);
    for broken in ["", "[]", "{", "7"] {
        let body = Bytes::from_static(broken.as_bytes());
        assert_eq!(
            set_model_and_call_id(&body, model, id),
            Err(Cause::Malformed),
            "{broken}"
        );
    }
}

checks::seeded! {
    /// An endpoint is counted as crashed only after it was up, and not again before it has answered
    /// again, whatever the order of the check results.
    fn counts_each_crash_once(results: Vec<u8>) -> bool {
        let mut health_state = HealthState::default();
        let mut answered = false;
        results.into_iter().all(|result| {
            let result = match result % 4 {
                0 => CheckResult::Unreachable,
                1 => CheckResult::NoAnswer,
                life => CheckResult::Answered { life: Some(u64::from(life)) },
            };
            let crashed = health_state.record(result).crashed;
            let allowed = answered || !crashed;
            let answers = matches!(result, CheckResult::Answered { .. });
            answered = answers || (answered && !crashed);
            allowed
        })
    }
}
