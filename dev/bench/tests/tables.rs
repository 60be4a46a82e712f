//! Alignment of tables and precision of latency quantiles.

use std::time::Duration;

use hornbeamrock_bench::latencies::Latencies;
use hornbeamrock_bench::table::Table;

#[test]
fn text_is_aligned_left_and_numbers_right() {
    let mut table = Table::new(["what", "ms"]);
    table.add_row(["bid".to_owned(), "7.5".to_owned()]);
    table.add_row(["valuation".to_owned(), "101.25".to_owned()]);
    let text = "what       ms\n---------  ------\nbid           7.5\nvaluation  101.25\n";
    assert_eq!(table.render(), text);
}

#[test]
fn quantiles_are_precise_to_a_thousandth() {
    let mut latencies = Latencies::default();
    for ms in 1..=1_000 {
        latencies.record(Duration::from_millis(ms));
    }
    let is_near = |seen: f64, expected: f64| (seen - expected).abs() <= expected / 1_000.0 + 0.001;
    assert_eq!(latencies.count(), 1_000);
    assert!(is_near(latencies.quantile_ms(0.5), 500.0));
    assert!(is_near(latencies.quantile_ms(0.99), 990.0));
    assert_eq!(Latencies::default().quantile_ms(0.5), 0.0);
}
