//! Calls to an endpoint whose idle connections have gone silent.

use proof::{Case, Ending, Fault, Phase, Repeat, RequestKind, run_cases};

// Guards against a call that hangs on a dead pooled connection: the agent's idle connection from
// an earlier call carries no more data, while new connections work.
#[tokio::test(flavor = "multi_thread")]
async fn can_answer_when_idle_connections_are_silent() {
    let case = Case {
        name: "idle connections are silent",
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
