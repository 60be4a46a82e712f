//! Conditions and numbered producers of the platform's store, as the stand-in keeps them.
#![allow(clippy::unwrap_used)] // The exemption of clippy.toml ends at helpers of tests.

use adapters::{Endpoint, EndpointSettings, Request};
use serde_json::Value;
use standins::fleet::store::Store;

const DEADLINE_MS: u64 = 5_000;

/// Appends one record under these terms; gives status and answer.
async fn append(door: &Endpoint, terms: &str) -> (u16, Value) {
    let path = format!("/v1/log-append?Topic=t&part=0{terms}");
    let request = Request {
        body: vec![0, 0, 0, 1, b'a'].into(),
        ..Request::new("POST", path)
    };
    let answer = door.send(request, DEADLINE_MS).await.unwrap();
    let status = answer.head.status;
    let body = answer.body.read_to_end().await.unwrap();
    (status, serde_json::from_slice(&body).unwrap())
}

#[tokio::test]
async fn can_keep_the_terms_of_an_append() {
    struct Case {
        name: &'static str,
        terms: &'static str,
        status: u16,
        field: &'static str,
        value: u64,
    }
    let case = |name, terms, status, field, value| Case {
        name,
        terms,
        status,
        field,
        value,
    };
    // Each case goes on from the one before; the partition is empty at first.
    let cases = [
        case("the end as it is", "&AsOf=0", 200, "Offset", 0),
        case("an older end", "&AsOf=0", 412, "End", 1),
        case(
            "a new producer",
            "&Producer=p&epoch=1&Seq=0",
            200,
            "Offset",
            1,
        ),
        case(
            "its number again",
            "&Producer=p&epoch=1&Seq=0",
            200,
            "Offset",
            1,
        ),
        case(
            "its next number",
            "&Producer=p&epoch=1&Seq=1",
            200,
            "Offset",
            2,
        ),
        case(
            "a number left out",
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
            "a number again, at an older end",
            "&Producer=p&epoch=2&Seq=0&AsOf=3",
            200,
            "Offset",
            3,
        ),
        case("nobody's", "", 200, "End", 5),
    ];
    let store = Store::default();
    let handle = store.listen(([127, 0, 0, 1], 0).into()).await.unwrap();
    let door = Endpoint::new(handle.address, EndpointSettings::default());
    for case in cases {
        let (status, answer) = append(&door, case.terms).await;
        assert_eq!(status, case.status, "{}: {answer}", case.name);
        assert_eq!(answer[case.field], case.value, "{}", case.name);
    }
    let (status, answer) = append(&door, "&Producer=p&epoch=1&Seq=2").await;
    assert_eq!((status, &answer["why"]), (409, &"fenced".into()));
}
