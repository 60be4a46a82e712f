//! Limits on the memory held for request bodies.
#![allow(clippy::unwrap_used)] // clippy.toml allows `unwrap` in test functions, not in their helpers.

mod common;

use std::net::SocketAddr;
use std::sync::Arc;

use common::{CLERK, Site, SiteSettings, TEST_TIMEOUT, TestRequest, completion};
use futures_util::future::select_all;
use gateway::body_budget::{BodyBudget, BodyUse, OverBudget};
use settings::Ceilings;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

const COMPLETIONS: &str = "/v1/completions";
const LARGE_BYTES: usize = 4 << 20;

/// Sends a request whose body is incomplete.
async fn send_unfinished_request(to: SocketAddr, body_bytes: usize) -> TcpStream {
    let mut stream = TcpStream::connect(to).await.unwrap();
    let head = format!(
        "POST {COMPLETIONS} HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer {CLERK}\r\n\
         Content-Length: {body_bytes}\r\n\r\n{{"
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    stream
}

/// Reads the first part of an answer.
async fn read_answer(stream: &mut TcpStream) -> String {
    let mut bytes = vec![0; 4_096];
    let length = stream.read(&mut bytes).await.unwrap();
    String::from_utf8_lossy(&bytes[..length]).into_owned()
}

// Guards against one caller exhausting the entry's memory with many requests whose bodies never
// end, each read before the customer's limits apply. The first request over the customer's limits
// must be refused at once, as not run.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn can_limit_unfinished_bodies_of_one_customer() {
    struct Case {
        name: &'static str,
        ceilings: Ceilings,
        connections: usize,
        body_bytes: usize,
    }
    let cases = [
        Case {
            name: "the customer's body budget",
            ceilings: Ceilings::default(),
            connections: 9,
            body_bytes: LARGE_BYTES,
        },
        Case {
            name: "the customer's limit of requests in progress",
            ceilings: Ceilings {
                in_progress: Some(2),
                ..Ceilings::default()
            },
            connections: 3,
            body_bytes: 100,
        },
    ];
    for case in cases {
        let site = Site::start(SiteSettings {
            entries: 1,
            engines: 1,
            services: 0,
            ceilings: case.ceilings,
            ..SiteSettings::default()
        })
        .await;
        let entry = site.entries[0].address;
        let mut streams = Vec::new();
        for _ in 0..case.connections {
            streams.push(send_unfinished_request(entry, case.body_bytes).await);
        }
        let answers = streams
            .iter_mut()
            .map(|stream| Box::pin(read_answer(stream)));
        let first = timeout(TEST_TIMEOUT, select_all(answers)).await.unwrap().0;
        assert!(first.starts_with("HTTP/1.1 429 "), "{}: {first}", case.name);
        for part in ["customer-limit", "not-run", "retry-after: "] {
            assert!(first.contains(part), "{}: {first}", case.name);
        }
        drop(streams);
        let small = TestRequest::post(COMPLETIONS, completion("opening hours", 4, false));
        let answered = site.send_until_ok(0, &small).await;
        assert!(answered.is_complete, "{}", case.name);
    }
}

#[test]
fn can_share_the_body_budget_among_customers() {
    struct Case {
        name: &'static str,
        /// Reserved body bytes, as pairs of customer and size.
        held: &'static [(usize, usize)],
        requested: (usize, usize),
        outcome: Result<(), OverBudget>,
    }
    let cases = [
        Case {
            name: "a single customer, up to its limit",
            held: &[(0, 20)],
            requested: (0, 10),
            outcome: Ok(()),
        },
        Case {
            name: "a single customer, over its limit",
            held: &[(0, 20)],
            requested: (0, 11),
            outcome: Err(OverBudget::Customer),
        },
        Case {
            name: "a customer that holds as much as is free",
            held: &[(0, 30), (1, 30), (2, 20)],
            requested: (2, 1),
            outcome: Err(OverBudget::Customer),
        },
        Case {
            name: "a new customer while others hold large bodies",
            held: &[(0, 30), (1, 30), (2, 20)],
            requested: (3, 20),
            outcome: Ok(()),
        },
        Case {
            name: "more than the process has free",
            held: &[(0, 30), (1, 30), (2, 20)],
            requested: (3, 21),
            outcome: Err(OverBudget::Process),
        },
        Case {
            name: "a size that overflows",
            held: &[(0, 1)],
            requested: (0, usize::MAX),
            outcome: Err(OverBudget::Process),
        },
    ];
    for case in cases {
        let budget = Arc::new(BodyBudget::new(100, 30));
        let customers: [Arc<BodyUse>; 4] = Default::default();
        let reserve = |&(customer, bytes): &(usize, usize)| {
            let customer: &Arc<BodyUse> = &customers[customer];
            budget.reserve(customer, bytes)
        };
        let held: Result<Vec<_>, _> = case.held.iter().map(reserve).collect();
        let held = held.unwrap();
        let before = budget.held_bytes();
        let requested = reserve(&case.requested);
        assert_eq!(
            requested.as_ref().map(|_| ()).map_err(|over| *over),
            case.outcome,
            "{}",
            case.name
        );
        drop(requested);
        assert_eq!(budget.held_bytes(), before, "{}", case.name);
        drop(held);
        assert_eq!(budget.held_bytes(), 0, "{}", case.name);
    }
}

#[test]
fn can_release_the_reservation_of_a_growing_body() {
    let budget = Arc::new(BodyBudget::new(100, 30));
    let customer = Arc::new(BodyUse::default());
    let mut reserved = budget.reserve(&customer, 0).unwrap();
    reserved.grow(30).unwrap();
    assert_eq!(reserved.grow(1), Err(OverBudget::Customer));
    assert_eq!((reserved.bytes(), budget.held_bytes()), (30, 30));
    drop(reserved);
    assert_eq!(budget.held_bytes(), 0);
    assert!(budget.reserve(&customer, 30).is_ok());
}
