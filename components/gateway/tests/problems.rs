//! Problem documents as sent to callers.
#![allow(clippy::unwrap_used)] // clippy.toml allows `unwrap` in test functions, not in their helpers.

use gateway::problem;
use gateway::rejection::{BodyFault, Rejection};
use types::{Cause, Failure, RunState};

#[test]
fn can_write_problem_documents() {
    struct Case {
        rejection: Rejection,
        status: u16,
        outcome: &'static str,
        cause: &'static str,
        retry_after: Option<&'static str>,
    }
    let call = |run, cause| Rejection::Call(Failure::new(run, cause));
    let busy = Failure::not_run(Cause::QueueFull).retry_after(1_001);
    let cases = [
        Case {
            rejection: Rejection::Unauthenticated,
            status: 401,
            outcome: "not-run",
            cause: "unauthenticated",
            retry_after: None,
        },
        Case {
            rejection: Rejection::TooLarge(4),
            status: 413,
            outcome: "not-run",
            cause: "too-large",
            retry_after: None,
        },
        Case {
            rejection: Rejection::Body(BodyFault::Field("n", "1")),
            status: 400,
            outcome: "not-run",
            cause: "malformed",
            retry_after: None,
        },
        Case {
            rejection: Rejection::Call(busy),
            status: 503,
            outcome: "not-run",
            cause: "queue-full",
            retry_after: Some("2"),
        },
        Case {
            rejection: Rejection::Call(Failure::not_run(Cause::CustomerLimit).retry_after(1)),
            status: 429,
            outcome: "not-run",
            cause: "customer-limit",
            retry_after: Some("1"),
        },
        Case {
            rejection: call(RunState::Unknown, Cause::LinkLost),
            status: 502,
            outcome: "unknown",
            cause: "link-lost",
            retry_after: None,
        },
        Case {
            rejection: call(RunState::Failed, Cause::Truncated),
            status: 502,
            outcome: "failed",
            cause: "truncated",
            retry_after: None,
        },
        Case {
            rejection: call(RunState::Unknown, Cause::DeadlinePassed),
            status: 504,
            outcome: "unknown",
            cause: "deadline-passed",
            retry_after: None,
        },
        Case {
            rejection: Rejection::StepNotHeld(7),
            status: 404,
            outcome: "not-run",
            cause: "not-hosted",
            retry_after: None,
        },
    ];
    for case in cases {
        let response = problem::response(&case.rejection, "r-1");
        assert_eq!(response.status(), case.status, "{}", case.cause);
        let header = |name| response.headers().get(name).map(|v| v.to_str().unwrap());
        assert_eq!(header("content-type"), Some("application/problem+json"));
        assert_eq!(header("retry-after"), case.retry_after, "{}", case.cause);
        let document = problem::document(&case.rejection, "r-1");
        let json: serde_json::Value = serde_json::from_slice(&document).unwrap();
        assert_eq!(json["status"], case.status);
        assert_eq!(json["outcome"], case.outcome, "{}", case.cause);
        assert_eq!(json["cause"], case.cause);
        assert_eq!(json["request_id"], "r-1");
        assert_eq!(
            json["type"],
            format!("urn:hornbeamrock:problem:{}", case.cause)
        );
        assert!(!json["title"].as_str().unwrap().is_empty());
        assert!(!json["detail"].as_str().unwrap().is_empty());
    }
}
