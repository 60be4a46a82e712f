//! Opinions under kills, freezes and broken streams. A whole one has exactly the text that
//! an engine gives that is asked directly.

use proof::{Case, Ending, Fault, Kind, Repeat, Step, run_cases};

use Ending::{Lost, Whole};
use Fault::{
    CutAnswer, CutEndpoint, FreezeAgent, FreezeEntry, KillAgent, KillEndpoint, KillEntry,
    KillOtherEntry, LoseAnswer, TruncateAnswer,
};
use Step::{Before, Running, Streaming};

const fn case(
    name: &'static str,
    kind: Kind,
    faults: &'static [Fault],
    at: Step,
    ends: &'static [Ending],
) -> Case {
    Case {
        name,
        kind,
        faults,
        at,
        ends,
        repeat: Repeat::Never,
        repeat_ends: &[],
    }
}

const WHOLE: &[Ending] = &[Whole];

// The clerk sees one whole opinion, token for token, though its engine or agent died in the
// middle: the tokens that he has go to another engine, which goes on from them. A stream
// that ends without its finish reason is never taken for a whole one.
#[tokio::test(flavor = "multi_thread")]
async fn can_stream_a_whole_opinion_under_every_fault() {
    let stream = |name, faults, at, ends| case(name, Kind::Stream, faults, at, ends);
    let failures = run_cases(&[
        stream("no fault", &[], Streaming, WHOLE),
        stream("engine dies before", &[KillEndpoint], Before, WHOLE),
        stream(
            "engine dies in the stream",
            &[KillEndpoint],
            Streaming,
            WHOLE,
        ),
        stream("agent dies before", &[KillAgent], Before, WHOLE),
        stream("agent dies in the stream", &[KillAgent], Streaming, WHOLE),
        stream("agent wakes late", &[FreezeAgent], Streaming, WHOLE),
        stream("entry wakes late", &[FreezeEntry], Streaming, WHOLE),
        stream(
            "entry dies",
            &[KillEntry],
            Streaming,
            &[Lost, Ending::Broken],
        ),
        stream("other entry dies", &[KillOtherEntry], Streaming, WHOLE),
        stream("connections cut", &[CutEndpoint], Streaming, WHOLE),
        stream("stream is cut", &[CutAnswer], Streaming, WHOLE),
        stream("stream is truncated", &[TruncateAnswer], Streaming, WHOLE),
        stream(
            "truncated, agent wakes late",
            &[TruncateAnswer, FreezeAgent],
            Streaming,
            WHOLE,
        ),
    ])
    .await;
    assert!(failures.is_empty(), "{failures:#?}");
}

// The clerk sees one whole opinion: it may run again, so another engine makes it when the
// first dies, and a part of one is never given for the whole.
#[tokio::test(flavor = "multi_thread")]
async fn can_give_a_whole_opinion_under_every_fault() {
    let opinion = |name, faults, at, ends| case(name, Kind::Opinion, faults, at, ends);
    let failures = run_cases(&[
        opinion("engine dies under it", &[KillEndpoint], Running, WHOLE),
        opinion("agent dies under it", &[KillAgent], Running, WHOLE),
        opinion("agent wakes late", &[FreezeAgent], Running, WHOLE),
        opinion("entry dies", &[KillEntry], Running, &[Lost]),
        opinion("answer is cut", &[CutAnswer], Running, WHOLE),
        opinion("answer is truncated", &[TruncateAnswer], Running, WHOLE),
        opinion("answer is lost", &[LoseAnswer], Running, WHOLE),
    ])
    .await;
    assert!(failures.is_empty(), "{failures:#?}");
}
