//! Series with a further label, such as the route of a call.

use telemetry::{Label, Metrics, MetricsSettings};
use types::Class;

/// Guards against values of different routes in one series, and against a label that is lost.
#[tokio::test]
async fn values_with_different_tags_are_separate_series() {
    let metrics = Metrics::start(&MetricsSettings::default()).expect("a metrics thread");
    let tagged = |tag| Label {
        class: Some(Class::Interactive),
        tag,
        ..Label::default()
    };
    metrics.record("wait_ms", tagged(Some(("route", "quotes"))), 5);
    metrics.record("wait_ms", tagged(Some(("route", "bids"))), 7);
    metrics.record("wait_ms", tagged(Some(("route", "bids"))), 9);
    metrics.count("wait_ms_total", tagged(None), 1);
    let rows = metrics.rows().await;
    let series = |tag: Option<(&'static str, String)>| {
        let of_tag = rows
            .iter()
            .filter(|row| row.tag == tag && row.name.starts_with("wait_ms"));
        of_tag.map(|row| row.count).collect::<Vec<_>>()
    };
    assert_eq!(series(Some(("route", "bids".to_owned()))), [2]);
    assert_eq!(series(Some(("route", "quotes".to_owned()))), [1]);
    assert_eq!(series(None), [1]);
}
