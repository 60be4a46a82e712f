//! How a caller classifies the bodies of the answers that it receives.

use hornbeamrock_bench::caller::parse_complete_stream;
use hornbeamrock_bench::reply::{Ending, Problem};

const FIRST: &str = "data: {\"choices\":[{\"index\":0,\"text\":\" a\",\"finish_reason\":null}],\"weight_version\":\"0.1\"}\n\n";
const LAST: &str =
    "data: {\"choices\":[{\"index\":0,\"text\":\"\",\"finish_reason\":\"stop\"}]}\n\n";
const DONE: &str = "data: [DONE]\n\n";

#[test]
fn a_complete_stream_is_told_apart_from_a_truncated_one() {
    struct Case {
        name: &'static str,
        events: &'static [&'static str],
        complete: bool,
    }
    let cases = [
        Case {
            name: "finish reason and terminator",
            events: &[FIRST, LAST, DONE],
            complete: true,
        },
        Case {
            name: "no terminator",
            events: &[FIRST, LAST],
            complete: false,
        },
        Case {
            name: "no finish reason",
            events: &[FIRST, DONE],
            complete: false,
        },
        Case {
            name: "no events",
            events: &[],
            complete: false,
        },
    ];
    for case in cases {
        let transcript = parse_complete_stream(case.events.concat().as_bytes());
        assert_eq!(transcript.is_some(), case.complete, "{}", case.name);
    }
}

#[test]
fn the_problem_that_ends_an_interrupted_stream_is_parsed() {
    let body = format!(
        "{FIRST}event: error\ndata: {{\"outcome\":\"failed\",\"cause\":\"endpoint-lost\"}}\n\n"
    );
    let problem = Problem::in_stream(body.as_bytes()).unwrap();
    assert_eq!(Ending::from_outcome(&problem.outcome), Ending::Failed);
    assert_eq!(problem.cause, "endpoint-lost");
    assert!(Problem::in_stream(FIRST.as_bytes()).is_none());
}

#[test]
fn an_unknown_outcome_counts_as_lost() {
    for outcome in ["", "fine", "Not-run"] {
        assert_eq!(Ending::from_outcome(outcome), Ending::Lost, "{outcome}");
    }
}
