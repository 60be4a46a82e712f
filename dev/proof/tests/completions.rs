//! Completions while processes are killed or paused and streams break. A complete answer has
//! exactly the text that an engine generates when it is called directly.

use proof::{Case, Ending, Fault, Phase, Repeat, RequestKind, run_cases};

use Ending::{Complete, Lost};
use Fault::{
    CutAnswer, CutEndpoint, KillAgent, KillEndpoint, KillEntry, KillOtherEntry, LoseAnswer,
    PauseAgent, PauseEntry, TruncateAnswer,
};
use Phase::{Before, Running, Streaming};

const fn case(
    name: &'static str,
    kind: RequestKind,
    faults: &'static [Fault],
    phase: Phase,
    allowed_endings: &'static [Ending],
) -> Case {
    Case {
        name,
        kind,
        faults,
        phase,
        allowed_endings,
        repeat: Repeat::Never,
        allowed_repeat_endings: &[],
    }
}

const COMPLETE: &[Ending] = &[Complete];

// Guards against missing or repeated tokens when an engine or agent fails during a stream: another
// engine must continue after the tokens that the client already has. A stream that ends without
// its finish reason must not count as complete.
#[tokio::test(flavor = "multi_thread")]
async fn can_stream_a_complete_text_under_every_fault() {
    let stream = |name, faults, phase, allowed_endings| {
        case(name, RequestKind::Stream, faults, phase, allowed_endings)
    };
    let failures = run_cases(&[
        stream("no fault", &[], Streaming, COMPLETE),
        stream(
            "engine is killed before the call",
            &[KillEndpoint],
            Before,
            COMPLETE,
        ),
        stream(
            "engine is killed during the stream",
            &[KillEndpoint],
            Streaming,
            COMPLETE,
        ),
        stream(
            "agent is killed before the call",
            &[KillAgent],
            Before,
            COMPLETE,
        ),
        stream(
            "agent is killed during the stream",
            &[KillAgent],
            Streaming,
            COMPLETE,
        ),
        stream("agent is paused", &[PauseAgent], Streaming, COMPLETE),
        stream("entry is paused", &[PauseEntry], Streaming, COMPLETE),
        stream(
            "entry is killed",
            &[KillEntry],
            Streaming,
            &[Lost, Ending::Interrupted],
        ),
        stream(
            "other entry is killed",
            &[KillOtherEntry],
            Streaming,
            COMPLETE,
        ),
        stream("connections cut", &[CutEndpoint], Streaming, COMPLETE),
        stream("stream is cut", &[CutAnswer], Streaming, COMPLETE),
        stream(
            "stream is truncated",
            &[TruncateAnswer],
            Streaming,
            COMPLETE,
        ),
        stream(
            "truncated, agent is paused",
            &[TruncateAnswer, PauseAgent],
            Streaming,
            COMPLETE,
        ),
    ])
    .await;
    assert!(failures.is_empty(), "{failures:#?}");
}

// Guards against partial answers when an engine or agent fails: a completion is idempotent, so
// another engine must generate it again.
#[tokio::test(flavor = "multi_thread")]
async fn can_return_a_complete_document_under_every_fault() {
    let opinion = |name, faults, phase, allowed_endings| {
        case(name, RequestKind::Opinion, faults, phase, allowed_endings)
    };
    let failures = run_cases(&[
        opinion(
            "engine is killed during the call",
            &[KillEndpoint],
            Running,
            COMPLETE,
        ),
        opinion(
            "agent is killed during the call",
            &[KillAgent],
            Running,
            COMPLETE,
        ),
        opinion("agent is paused", &[PauseAgent], Running, COMPLETE),
        opinion("entry is killed", &[KillEntry], Running, &[Lost]),
        opinion("answer is cut", &[CutAnswer], Running, COMPLETE),
        opinion("answer is truncated", &[TruncateAnswer], Running, COMPLETE),
        opinion("answer is lost", &[LoseAnswer], Running, COMPLETE),
    ])
    .await;
    assert!(failures.is_empty(), "{failures:#?}");
}
