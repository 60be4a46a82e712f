//! Tests of conditional appends and of appends with sequence numbers at the platform's store.
#![allow(clippy::unwrap_used)] // clippy.toml exempts test functions, but not their helpers.

use adapters::{Endpoint, EndpointSettings, Request};
use serde_json::Value;
use standins::fleet::store::Store;

const DEADLINE_MS: u64 = 5_000;

/// Appends a record with conditions in the query. Returns status and body of the answer.
async fn append(endpoint: &Endpoint, conditions: &str) -> (u16, Value) {
    let path = format!("/v1/log-append?Topic=t&part=0{conditions}");
    let request = Request {
        body: vec![0, 0, 0, 1, b'a'].into(),
        ..Request::new("POST", path)
    };
    let answer = endpoint.send(request, DEADLINE_MS).await.unwrap();
    let status = answer.head.status;
    let body = answer.body.read_to_end().await.unwrap();
    (status, serde_json::from_slice(&body).unwrap())
}

#[tokio::test]
async fn can_check_the_conditions_of_an_append() {
    struct Case {
        name: &'static str,
        conditions: &'static str,
        status: u16,
        field: &'static str,
        value: u64,
    }
    let case = |name, conditions, status, field, value| Case {
        name,
        conditions,
        status,
        field,
        value,
    };
    // Each case continues with the partition of the previous case. The first partition is empty.
    let cases = [
        case("the current end", "&AsOf=0", 200, "Offset", 0),
        case("an older end", "&AsOf=0", 412, "End", 1),
        case(
            "a new producer",
            "&Producer=p&epoch=1&Seq=0",
            200,
            "Offset",
            1,
        ),
        case(
            "the same sequence number",
            "&Producer=p&epoch=1&Seq=0",
            200,
            "Offset",
            1,
        ),
        case(
            "the next sequence number",
            "&Producer=p&epoch=1&Seq=1",
            200,
            "Offset",
            2,
        ),
        case(
            "a skipped sequence number",
            "&Producer=p&epoch=1&Seq=3",
            409,
            "Seq",
            2,
        ),
        case(
            "a newer epoch",
            "&Producer=p&epoch=2&Seq=0",
            200,
            "Offset",
            3,
        ),
        case(
            "the same sequence number, with an older end",
            "&Producer=p&epoch=2&Seq=0&AsOf=3",
            200,
            "Offset",
            3,
        ),
        case("no producer", "", 200, "End", 5),
    ];
    let store = Store::default();
    let handle = store.listen(([127, 0, 0, 1], 0).into()).await.unwrap();
    let endpoint = Endpoint::new(handle.address, EndpointSettings::default());
    for case in cases {
        let (status, answer) = append(&endpoint, case.conditions).await;
        assert_eq!(status, case.status, "{}: {answer}", case.name);
        assert_eq!(answer[case.field], case.value, "{}", case.name);
    }
    let (status, answer) = append(&endpoint, "&Producer=p&epoch=1&Seq=2").await;
    assert_eq!((status, &answer["why"]), (409, &"fenced".into()));
}
