//! What a caller makes of the bodies that it gets.

use hornbeamrock_bench::caller::transcript;
use hornbeamrock_bench::reply::{Ending, Problem};

const FIRST: &str = "data: {\"choices\":[{\"index\":0,\"text\":\" a\",\"finish_reason\":null}],\"weight_version\":\"0.1\"}\n\n";
const LAST: &str =
    "data: {\"choices\":[{\"index\":0,\"text\":\"\",\"finish_reason\":\"stop\"}]}\n\n";
const DONE: &str = "data: [DONE]\n\n";

#[test]
fn can_tell_a_whole_stream_from_a_short_one() {
    struct Case {
        name: &'static str,
        events: &'static [&'static str],
        whole: bool,
    }
    let cases = [
        Case {
            name: "finish reason and terminator",
            events: &[FIRST, LAST, DONE],
            whole: true,
        },
        Case {
            name: "no terminator",
            events: &[FIRST, LAST],
            whole: false,
        },
        Case {
            name: "no finish reason",
            events: &[FIRST, DONE],
            whole: false,
        },
        Case {
            name: "nothing",
            events: &[],
            whole: false,
        },
    ];
    for case in cases {
        let read = transcript(case.events.concat().as_bytes());
        assert_eq!(read.is_some(), case.whole, "{}", case.name);
    }
}

#[test]
fn can_read_the_problem_that_breaks_a_stream() {
    let body = format!(
        "{FIRST}event: error\ndata: {{\"outcome\":\"failed\",\"cause\":\"endpoint-lost\"}}\n\n"
    );
    let problem = Problem::in_stream(body.as_bytes()).unwrap();
    assert_eq!(Ending::of_outcome(&problem.outcome), Ending::Failed);
    assert_eq!(problem.cause, "endpoint-lost");
    assert!(Problem::in_stream(FIRST.as_bytes()).is_none());
}

#[test]
fn an_outcome_without_a_known_word_counts_as_lost() {
    for word in ["", "fine", "Not-run"] {
        assert_eq!(Ending::of_outcome(word), Ending::Lost, "{word}");
    }
}
