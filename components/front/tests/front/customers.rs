//! Customers through a front: whose a request is, and what one customer sees of another.

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request};
use platform::{collect, connect};
use standins::fleet::records::{self, HOST};
use standins::{Fault, FaultKind};

use crate::common::{FrontHandle, Site, TEST_TIMEOUT, wait_until};

const CUSTOMERS: &[(&str, &[&str])] = &[
    ("anna", &["key-anna", "key-spare"]),
    ("bert", &["key-bert"]),
];

async fn site(events: u64) -> Site {
    let site = Site::start(events, 1).await;
    site.store.put(
        "keyed.op",
        "config",
        Some(&records::config_for(4, CUSTOMERS)),
    );
    site
}

async fn ask(
    front: &FrontHandle,
    key: &str,
    method: Method,
    path: &str,
    body: &str,
) -> (u16, String) {
    let headers = [
        (
            "hornbeamrock-request-id",
            path.rsplit('/').next().unwrap_or("q"),
        ),
        ("hornbeamrock-deadline-ms", "5000"),
        ("hornbeamrock-key", key),
    ];
    let (status, _, body) = front.request(method, path, &headers, body).await;
    (status, body)
}

/// Customers that replicas were told with requests of this id.
fn named(site: &Site, id: &str) -> Vec<String> {
    let replicas = site.replicas.iter();
    replicas
        .flat_map(|replica| replica.seen.customers(id))
        .collect()
}

fn keys_passed_on(site: &Site) -> usize {
    site.replicas
        .iter()
        .map(|replica| replica.seen.keys())
        .sum()
}

#[tokio::test]
async fn can_tell_a_replica_the_holder_of_the_key_whatever_the_client_says() {
    let site = site(3).await;
    let front = site.front("a").await;
    let headers = [
        ("hornbeamrock-request-id", "q-1"),
        ("hornbeamrock-deadline-ms", "2000"),
        ("hornbeamrock-key", "key-spare"),
        ("Hornbeamrock-Tenant", "bert"),
        ("hornbeamrock_tenant", "bert"),
    ];
    let (status, _, _) = front.request(Method::POST, "/calls/x", &headers, "").await;
    assert_eq!(status, 200);
    assert_eq!(named(&site, "q-1"), ["anna"]);
    assert_eq!(keys_passed_on(&site), 0);
}

#[tokio::test]
async fn errors_when_the_key_is_nobody_s() {
    struct Case {
        name: &'static str,
        path: &'static str,
        keys: &'static [&'static str],
        status: u16,
    }
    let cases = [
        Case {
            name: "no key",
            path: "/calls/x",
            keys: &[],
            status: 401,
        },
        Case {
            name: "an unknown key",
            path: "/calls/x",
            keys: &["key"],
            status: 401,
        },
        Case {
            name: "two keys",
            path: "/calls/x",
            keys: &["key-anna", "key-anna"],
            status: 401,
        },
        Case {
            name: "a step without a key",
            path: "/steps/s-1",
            keys: &[],
            status: 401,
        },
        Case {
            name: "a read without a key",
            path: "/v1/lots/s-1",
            keys: &[],
            status: 401,
        },
        Case {
            name: "a public route",
            path: "/scores/x",
            keys: &["key"],
            status: 200,
        },
        Case {
            name: "no route",
            path: "/nowhere/x",
            keys: &["key"],
            status: 404,
        },
    ];
    let site = site(3).await;
    let front = site.front("a").await;
    for case in cases {
        let mut headers = vec![
            ("hornbeamrock-request-id", "q-1"),
            ("hornbeamrock-deadline-ms", "2000"),
        ];
        headers.extend(case.keys.iter().map(|key| ("hornbeamrock-key", *key)));
        let method = match case.path.starts_with("/v1/") {
            true => Method::GET,
            false => Method::POST,
        };
        let (status, _, _) = front.request(method, case.path, &headers, "body").await;
        assert_eq!(status, case.status, "{}", case.name);
    }
    assert_eq!(
        named(&site, "q-1"),
        [""],
        "the public call alone has run, for nobody"
    );
}

#[tokio::test]
async fn can_use_the_connection_after_a_refused_key() {
    // The refused request has a body that nobody needs. Left unread it would reset the
    // connection, and the client would lose the answer and the next request with it.
    let site = site(3).await;
    let front = site.front("a").await;
    let mut connection = connect(front.client_address, TEST_TIMEOUT)
        .await
        .expect("a connection");
    for (key, status) in [
        ("key", 401),
        ("key-bert", 200),
        ("key", 401),
        ("key-bert", 200),
    ] {
        connection.ready().await.expect("still open");
        let request = Request::builder()
            .method(Method::POST)
            .uri("/calls/x")
            .header("host", HOST)
            .header("hornbeamrock-request-id", "q-1")
            .header("hornbeamrock-deadline-ms", "2000")
            .header("hornbeamrock-key", key)
            .body(Full::new(Bytes::from(vec![7; 300_000])))
            .expect("a request");
        let answer = connection
            .send(request, TEST_TIMEOUT)
            .await
            .expect("an answer");
        assert_eq!(answer.status(), status, "{key}");
        collect(answer.into_body(), 1 << 20).await.expect("whole");
    }
}

#[tokio::test]
async fn a_key_that_was_taken_away_opens_nothing_and_its_steps_go_on() {
    // The operator takes a customer's last key while its step runs. Calls with that key are
    // refused within moments. The step ends, its items and reward calls still run for the
    // customer, and a new key of the customer reads it.
    let site = Site::start(40, 20).await;
    let config = |version, keys: &[&str]| records::config_for(version, &[("anna", keys)]);
    site.store
        .put("keyed.op", "config", Some(&config(4, &["key-old"])));
    let front = site.front("a").await;
    let step = records::step(1, 1, 4);
    let submitted = ask(&front, "key-old", Method::POST, "/steps/s-1", &step).await;
    assert_eq!(submitted.0, 202);
    site.store.put("keyed.op", "config", Some(&config(5, &[])));
    wait_until("the key is refused", async || {
        ask(&front, "key-old", Method::POST, "/calls/x", "").await.0 == 401
    })
    .await;
    wait_until("the step has ended", async || {
        !named(&site, "score-1-3").is_empty()
    })
    .await;
    site.store
        .put("keyed.op", "config", Some(&config(6, &["key-new"])));
    wait_until("the new key reads it", async || {
        let path = "/v1/lots/s-1?After=3";
        let (status, body) = ask(&front, "key-new", Method::GET, path, "").await;
        status == 200 && body.contains("\"NextToken\":4")
    })
    .await;
    for id in ["item-1-0", "score-1-0", "item-1-3"] {
        assert_eq!(named(&site, id), ["anna"], "{id}");
    }
    assert_eq!(keys_passed_on(&site), 0);
}

#[tokio::test]
async fn another_customer_s_step_is_as_if_it_were_not_there() {
    let site = site(3).await;
    let fronts = [site.front("a").await, site.front("b").await];
    let step = records::step(1, 1, 2);
    let submitted = ask(&fronts[0], "key-anna", Method::POST, "/steps/s-1", &step).await;
    assert_eq!(submitted.0, 202);
    wait_until("the owner reads its step", async || {
        ask(&fronts[1], "key-spare", Method::GET, "/v1/lots/s-1", "")
            .await
            .0
            == 200
    })
    .await;
    struct Case {
        method: Method,
        path: &'static str,
    }
    let cases = [
        Case {
            method: Method::GET,
            path: "/v1/lots/s-1",
        },
        Case {
            method: Method::GET,
            path: "/v1/items/s-1?Id=item-1-0",
        },
        Case {
            method: Method::DELETE,
            path: "/v1/lots/s-1",
        },
    ];
    for case in cases {
        // 503 while a front has not read the log for a moment; never the step.
        wait_until("the step is missing", async || {
            let (status, body) =
                ask(&fronts[1], "key-bert", case.method.clone(), case.path, "").await;
            assert!(
                status == 404 || status == 503,
                "{} {status} {body}",
                case.path
            );
            status == 404
        })
        .await;
    }
    let (status, body) = ask(&fronts[1], "key-anna", Method::GET, "/v1/lots/s-1", "").await;
    assert_eq!(status, 200, "it was not ended: {body}");
    let own = ask(
        &fronts[1],
        "key-bert",
        Method::POST,
        "/steps/s-1",
        &records::step(7, 1, 2),
    )
    .await;
    assert_eq!(own.0, 202, "another customer's id is free");
    wait_until("it runs for its own customer", async || {
        named(&site, "item-7-0") == ["bert"]
    })
    .await;
}

#[tokio::test]
async fn errors_as_not_run_when_a_front_behind_does_not_know_a_key() {
    // A front is cut off from the store while the operator adds a key. A caller with that key
    // would give up for good after 401; it is told that nothing ran and when to come again.
    let site = site(3).await;
    let front = site.front("a").await;
    front.store_listener.fault(Fault::new(FaultKind::Outage));
    front.store_listener.crash(0);
    wait_until("it knows that it is behind", async || {
        ask(&front, "key-new", Method::POST, "/calls/x", "").await.0 == 503
    })
    .await;
    let known = ask(&front, "key-anna", Method::POST, "/calls/x", "").await;
    assert_eq!(known.0, 200, "what it knows still works");
}

#[tokio::test]
async fn a_run_that_another_front_takes_over_is_its_customer_s_still() {
    // The front that runs the items dies in the middle of them, behind the taking away of its
    // customer's last key. The other front goes on; replicas hear the same customer.
    let site = Site::start(60, 40).await;
    let config = |version, keys: &[&str]| records::config_for(version, &[("anna", keys)]);
    site.store
        .put("keyed.op", "config", Some(&config(4, &["key"])));
    let runner = site.front("a").await;
    let step = records::step(1, 1, 2);
    let submitted = ask(&runner, "key", Method::POST, "/steps/s-1", &step).await;
    assert_eq!(submitted.0, 202);
    wait_until("the items run", async || {
        !site.runs("item-1-0").is_empty() && !site.runs("item-1-1").is_empty()
    })
    .await;
    site.store.put("keyed.op", "config", Some(&config(5, &[])));
    let _other = site.front("b").await;
    drop(runner);
    wait_until("the other front runs them", async || {
        site.runs("item-1-0").len() > 1
    })
    .await;
    wait_until("they are scored", async || {
        !named(&site, "score-1-0").is_empty() && !named(&site, "score-1-1").is_empty()
    })
    .await;
    for id in ["item-1-0", "item-1-1", "score-1-0", "score-1-1"] {
        let mut customers = named(&site, id);
        customers.dedup();
        assert_eq!(customers, ["anna"], "{id}");
    }
}

#[tokio::test]
async fn keys_taken_away_in_quick_succession_are_gone_after_a_cut() {
    // A front is cut off from the store while the operator takes keys away and gives others,
    // one version behind the other. It may know the old ones as long as it is cut off; once
    // the store is back, the newest version holds, and none before it.
    let site = site(3).await;
    let front = site.front("a").await;
    front.store_listener.fault(Fault::new(FaultKind::Outage));
    front.store_listener.crash(0);
    let versions: [&[(&str, &[&str])]; 4] = [
        &[("anna", &["key-spare"]), ("bert", &["key-bert"])],
        &[("anna", &[]), ("bert", &["key-bert", "key-new"])],
        &[("anna", &["key-anna"]), ("bert", &[])],
        &[("anna", &["key-new"]), ("bert", &["key-bert"])],
    ];
    for (number, customers) in (5..).zip(versions) {
        let config = records::config_for(number, customers);
        site.store.put("keyed.op", "config", Some(&config));
    }
    front.store_listener.clear_faults();
    wait_until("the newest version is in force", async || {
        let old = ask(&front, "key-anna", Method::POST, "/calls/x", "").await;
        old.0 == 401
    })
    .await;
    struct Case {
        key: &'static str,
        status: u16,
        customer: &'static str,
    }
    let cases = [
        Case {
            key: "key-new",
            status: 200,
            customer: "anna",
        },
        Case {
            key: "key-bert",
            status: 200,
            customer: "bert",
        },
        Case {
            key: "key-spare",
            status: 401,
            customer: "",
        },
    ];
    for case in cases {
        let path = format!("/calls/{}", case.key);
        let (status, _) = ask(&front, case.key, Method::POST, &path, "").await;
        assert_eq!(status, case.status, "{}", case.key);
        let customers = named(&site, case.key).concat();
        assert_eq!(customers, case.customer, "{}", case.key);
    }
}

#[tokio::test]
async fn errors_as_not_run_when_a_front_behind_knows_no_route() {
    // The operator adds a route while a front is cut off. A 404 would be final for its callers;
    // they are told to come again.
    let site = site(3).await;
    let front = site.front("a").await;
    let (status, _) = ask(&front, "key-anna", Method::POST, "/new/x", "").await;
    assert_eq!(status, 404, "as long as it hears of the configuration");
    front.store_listener.fault(Fault::new(FaultKind::Outage));
    front.store_listener.crash(0);
    wait_until("it knows that it is behind", async || {
        ask(&front, "key-anna", Method::POST, "/new/x", "").await.0 == 503
    })
    .await;
}
