//! Calls with an idempotency key while the log accepts connections and never answers.

use proof::{Case, Ending, Fault, Phase, Repeat, RequestKind, run_cases};

// Guards against a request that hangs: the log neither refuses nor answers the claim's append, so
// the claim cannot be read back. The caller must get "not run" before the request's deadline, and
// the later withdrawal of the claim must not delay this answer.
#[tokio::test(flavor = "multi_thread")]
async fn errors_before_the_deadline_when_the_log_is_silent() {
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
