//! The budget of log lines.

use telemetry::{LineBudget, LineDecision};

const LINES_PER_S: u64 = 5;

fn written(budget: &LineBudget, lines: u64, now_ms: u64) -> u64 {
    let asked = (0..lines).map(|_| budget.try_take(now_ms));
    asked.filter(|line| *line != LineDecision::Suppress).count() as u64
}

#[test]
fn can_bound_lines_and_tell_how_many_were_left_out() {
    // A fault makes a process write a thousand lines in a second. Few are written; the first
    // line of the next second brings the count of the rest, once.
    let budget = LineBudget::new(LINES_PER_S);
    assert_eq!(written(&budget, 1_000, 10_000), LINES_PER_S);
    assert_eq!(written(&budget, 10, 10_999), 0);
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
fn can_write_everything_on_an_ordinary_day() {
    let budget = LineBudget::new(LINES_PER_S);
    for second in 0..100 {
        assert_eq!(written(&budget, LINES_PER_S, second * 1_000), LINES_PER_S);
    }
    assert_eq!(
        budget.try_take(100_000),
        LineDecision::Write { suppressed: 0 }
    );
}
