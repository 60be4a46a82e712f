//! The rate limit of log lines.

use telemetry::{LineBudget, LineDecision};

const LINES_PER_S: u64 = 5;

fn count_written(budget: &LineBudget, lines: u64, now_ms: u64) -> u64 {
    let decisions = (0..lines).map(|_| budget.try_take(now_ms));
    decisions
        .filter(|line| *line != LineDecision::Suppress)
        .count() as u64
}

#[test]
fn can_limit_lines_and_report_the_number_of_suppressed_lines_once() {
    // A fault makes a process log 1 000 lines in one second. Only the budget of that second is
    // written, and the first line of the next second reports the number of suppressed lines.
    let budget = LineBudget::new(LINES_PER_S);
    assert_eq!(count_written(&budget, 1_000, 10_000), LINES_PER_S);
    assert_eq!(count_written(&budget, 10, 10_999), 0);
    assert_eq!(
        budget.try_take(11_000),
        LineDecision::Write { suppressed: 1_005 }
    );
    assert_eq!(
        budget.try_take(11_001),
        LineDecision::Write { suppressed: 0 }
    );
}

#[test]
fn can_write_every_line_when_the_rate_stays_within_the_budget() {
    let budget = LineBudget::new(LINES_PER_S);
    for second in 0..100 {
        assert_eq!(
            count_written(&budget, LINES_PER_S, second * 1_000),
            LINES_PER_S
        );
    }
    assert_eq!(
        budget.try_take(100_000),
        LineDecision::Write { suppressed: 0 }
    );
}
