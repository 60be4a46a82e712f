//! Idle connections to an endpoint that have gone silent.

use proof::{Case, Ending, Fault, Phase, Repeat, RequestKind, run_cases};

// The clerk sees his consultation answered: the connection that the agent kept from an
// earlier call carries nothing any more, and new ones work.
#[tokio::test(flavor = "multi_thread")]
async fn can_answer_when_idle_connections_are_silent() {
    let case = Case {
        name: "idle ones silent",
        kind: RequestKind::Consultation,
        faults: &[Fault::SilenceEndpoint],
        phase: Phase::Before,
        allowed_endings: &[Ending::Complete],
        repeat: Repeat::Never,
        allowed_repeat_endings: &[],
    };
    let failures = run_cases(&[case]).await;
    assert!(failures.is_empty(), "{failures:#?}");
}
