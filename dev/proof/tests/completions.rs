//! Opinions under kills, freezes and broken streams. A whole one has exactly the text that
//! an engine gives that is asked directly.

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

// The clerk sees one whole opinion, token for token, though its engine or agent died in the
// middle: the tokens that he has go to another engine, which goes on from them. A stream
// that ends without its finish reason is never taken for a whole one.
#[tokio::test(flavor = "multi_thread")]
async fn can_stream_a_whole_opinion_under_every_fault() {
    let stream = |name, faults, phase, allowed_endings| {
        case(name, RequestKind::Stream, faults, phase, allowed_endings)
    };
    let failures = run_cases(&[
        stream("no fault", &[], Streaming, COMPLETE),
        stream("engine dies before", &[KillEndpoint], Before, COMPLETE),
        stream(
            "engine dies in the stream",
            &[KillEndpoint],
            Streaming,
            COMPLETE,
        ),
        stream("agent dies before", &[KillAgent], Before, COMPLETE),
        stream(
            "agent dies in the stream",
            &[KillAgent],
            Streaming,
            COMPLETE,
        ),
        stream("agent wakes late", &[PauseAgent], Streaming, COMPLETE),
        stream("entry wakes late", &[PauseEntry], Streaming, COMPLETE),
        stream(
            "entry dies",
            &[KillEntry],
            Streaming,
            &[Lost, Ending::Interrupted],
        ),
        stream("other entry dies", &[KillOtherEntry], Streaming, COMPLETE),
        stream("connections cut", &[CutEndpoint], Streaming, COMPLETE),
        stream("stream is cut", &[CutAnswer], Streaming, COMPLETE),
        stream(
            "stream is truncated",
            &[TruncateAnswer],
            Streaming,
            COMPLETE,
        ),
        stream(
            "truncated, agent wakes late",
            &[TruncateAnswer, PauseAgent],
            Streaming,
            COMPLETE,
        ),
    ])
    .await;
    assert!(failures.is_empty(), "{failures:#?}");
}

// The clerk sees one whole opinion: it may run again, so another engine makes it when the
// first dies, and a part of one is never given for the whole.
#[tokio::test(flavor = "multi_thread")]
async fn can_give_a_whole_opinion_under_every_fault() {
    let opinion = |name, faults, phase, allowed_endings| {
        case(name, RequestKind::Opinion, faults, phase, allowed_endings)
    };
    let failures = run_cases(&[
        opinion("engine dies under it", &[KillEndpoint], Running, COMPLETE),
        opinion("agent dies under it", &[KillAgent], Running, COMPLETE),
        opinion("agent wakes late", &[PauseAgent], Running, COMPLETE),
        opinion("entry dies", &[KillEntry], Running, &[Lost]),
        opinion("answer is cut", &[CutAnswer], Running, COMPLETE),
        opinion("answer is truncated", &[TruncateAnswer], Running, COMPLETE),
        opinion("answer is lost", &[LoseAnswer], Running, COMPLETE),
    ])
    .await;
    assert!(failures.is_empty(), "{failures:#?}");
}
