//! A log that takes connections and says nothing.

use proof::{Case, Ending, Fault, Phase, Repeat, RequestKind, run_cases};

// The verifier sees "not run" and a time to come back within the time of its request. The
// claim's append is neither refused nor answered, so no claim can be read back, and what
// takes the claim back later must not hold up the answer.
#[tokio::test(flavor = "multi_thread")]
async fn errors_at_once_when_the_log_is_silent() {
    let case = Case {
        name: "log is silent",
        kind: RequestKind::KeyedCheck,
        faults: &[Fault::LogSilent],
        phase: Phase::Before,
        allowed_endings: &[Ending::NotRun],
        repeat: Repeat::Never,
        allowed_repeat_endings: &[],
    };
    let failures = run_cases(&[case]).await;
    assert!(failures.is_empty(), "{failures:#?}");
}
