//! Tables and histograms.

use std::time::Duration;

use hornbeamrock_bench::latencies::Latencies;
use hornbeamrock_bench::table::Table;

#[test]
fn words_stand_left_and_numbers_right() {
    let mut table = Table::new(["what", "ms"]);
    table.add(["bid".to_owned(), "7.5".to_owned()]);
    table.add(["valuation".to_owned(), "101.25".to_owned()]);
    let text = "what       ms\n---------  ------\nbid           7.5\nvaluation  101.25\n";
    assert_eq!(table.text(), text);
}

#[test]
fn quantiles_are_within_a_thousandth() {
    let mut latencies = Latencies::default();
    for ms in 1..=1_000 {
        latencies.record(Duration::from_millis(ms));
    }
    let near = |seen: f64, wanted: f64| (seen - wanted).abs() <= wanted / 1_000.0 + 0.001;
    assert_eq!(latencies.count(), 1_000);
    assert!(near(latencies.quantile_ms(0.5), 500.0));
    assert!(near(latencies.quantile_ms(0.99), 990.0));
    assert_eq!(Latencies::default().quantile_ms(0.5), 0.0);
}
