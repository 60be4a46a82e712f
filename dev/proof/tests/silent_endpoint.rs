//! Idle connections to an endpoint that have gone silent.

use proof::{Case, Ending, Fault, Kind, Repeat, Step, run_cases};

// The clerk sees his consultation answered: the connection that the agent kept from an
// earlier call carries nothing any more, and new ones work.
#[tokio::test(flavor = "multi_thread")]
async fn can_answer_when_idle_connections_are_silent() {
    let case = Case {
        name: "idle ones silent",
        kind: Kind::Consult,
        faults: &[Fault::SilenceEndpoint],
        at: Step::Before,
        ends: &[Ending::Whole],
        repeat: Repeat::Never,
        repeat_ends: &[],
    };
    let failures = run_cases(&[case]).await;
    assert!(failures.is_empty(), "{failures:#?}");
}
