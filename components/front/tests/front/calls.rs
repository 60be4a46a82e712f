//! Calls of clients through a front: answers, retries, refusals and readiness.

use crate::common::{Site, wait_until};
use hyper::Method;
use standins::fleet::records;
use standins::{Fault, FaultKind};

#[tokio::test(crate = "crate::cores")]
async fn can_forward_a_replica_s_complete_answer() {
    let site = Site::start(3, 1).await;
    let front = site.front("a").await;
    let (status, body) = front.call("q-1", "/calls/x?y=1").await;
    assert_eq!((status, body.as_str()), (200, "/calls/x 4"));
    assert_eq!(site.runs("q-1"), [0]);
}

#[tokio::test(crate = "crate::cores")]
async fn errors_with_a_status_for_each_kind_of_invalid_request() {
    struct Case {
        name: &'static str,
        path: &'static str,
        body: String,
        status: u16,
    }
    let cases = [
        Case {
            name: "no route",
            path: "/nowhere/",
            body: String::new(),
            status: 404,
        },
        Case {
            name: "a body over the limit",
            path: "/calls/x",
            body: "x".repeat(1_048_577),
            status: 413,
        },
        Case {
            name: "an item above the store's record limit",
            path: "/steps/x",
            body: records::step(1, 1, 2).replace("q80=", &"A".repeat(400_000)),
            status: 413,
        },
        Case {
            name: "a list of items above the store's record limit",
            path: "/steps/x",
            body: records::step(1, 1, 1_500).replace("item-1-", &"i".repeat(200)),
            status: 413,
        },
        Case {
            name: "a body that is no step",
            path: "/steps/x",
            body: "{}".to_owned(),
            status: 400,
        },
        Case {
            name: "a step of an unknown model",
            path: "/steps/x",
            body: records::step(1, 1, 2).replace("\"Model\":\"model-a\"", "\"Model\":\"none\""),
            status: 400,
        },
    ];
    let site = Site::start(3, 1).await;
    let front = site.front("a").await;
    for case in cases {
        let headers = [("hornbeamrock-request-id", "q-1")];
        let (status, _, _) = front
            .request(Method::POST, case.path, &headers, &case.body)
            .await;
        assert_eq!(status, case.status, "{}", case.name);
    }
}

#[tokio::test(crate = "crate::cores")]
async fn errors_when_the_head_of_a_request_is_too_long() {
    // The front stops reading the oversized head. The client must still receive the 431 before the
    // connection closes, and no replica may receive the call.
    let site = Site::start(3, 1).await;
    let front = site.front("a").await;
    let long = "x".repeat(40_000);
    let headers = [
        ("hornbeamrock-request-id", "q-1"),
        ("x-long", long.as_str()),
    ];
    let (status, _, _) = front.request(Method::POST, "/calls/x", &headers, "").await;
    assert_eq!(status, 431);
    assert!(site.runs("q-1").is_empty());
}

#[tokio::test(crate = "crate::cores")]
async fn errors_as_not_run_while_no_configuration_is_known() {
    // A front that starts while the store is down knows no route. A 404 would be final for the
    // client, so the front must answer 503 with Retry-After and report itself as not ready.
    let site = Site::start(3, 1).await;
    let door = site
        .store
        .listen(([127, 0, 0, 1], 0).into())
        .await
        .expect("a port");
    drop(door);
    let front = site.unready_front("a").await;
    front
        .store_listener
        .inject_fault(Fault::new(FaultKind::Outage));
    front.store_listener.crash(0);
    let headers = [("hornbeamrock-request-id", "q-1")];
    let (status, retry_after, _) = front.request(Method::POST, "/calls/x", &headers, "").await;
    if status == 200 {
        // The front read the configuration before the outage began; there is nothing to check.
        return;
    }
    assert_eq!(status, 503);
    assert!(retry_after.is_some());
    assert!(!front.is_ready().await);
}

#[tokio::test(crate = "crate::cores")]
async fn can_retry_at_another_replica_when_an_answer_is_truncated() {
    // A replica closes the connection in the middle of each answer. The call is idempotent, so the
    // front must retry at the other replica, and the client must get one complete answer.
    let site = Site::start(3, 1).await;
    let front = site.front("a").await;
    site.replica("plain-1")
        .handle
        .inject_fault(Fault::new(FaultKind::Truncate).on("/calls/"));
    for call in 0..6 {
        let (status, body) = front.call(&format!("q-{call}"), "/calls/x").await;
        assert_eq!((status, body.as_str()), (200, "/calls/x 4"));
    }
}

#[tokio::test(crate = "crate::cores")]
async fn errors_when_the_answer_of_an_at_most_once_call_is_lost() {
    // Both replicas would run the call and lose the answer. The front must not send the call to the
    // second replica, and must not answer that it did not run.
    let site = Site::start(3, 1).await;
    let front = site.front("a").await;
    for id in ["plain-1", "plain-2"] {
        site.replica(id)
            .handle
            .inject_fault(Fault::new(FaultKind::AnswerLost).on("/bids/"));
    }
    let (status, _) = front.call("bid-1", "/bids/x").await;
    assert_eq!(status, 502);
    assert_eq!(site.runs("bid-1"), [0], "the call must run exactly once");
}

#[tokio::test(crate = "crate::cores")]
async fn can_stop_sending_calls_to_a_draining_replica() {
    let site = Site::start(3, 1).await;
    let front = site.front("a").await;
    site.write_heartbeat(site.replica("plain-1"), "draining", 1);
    let number = std::sync::atomic::AtomicU32::new(0);
    // Calls may still go to the replica until the front has read the record, but not after that.
    wait_until("all calls go to the other replica", || async {
        let first = number.fetch_add(10, std::sync::atomic::Ordering::Relaxed);
        for call in first..first + 10 {
            front.call(&format!("d-{call}"), "/calls/x").await;
        }
        let runs = site.replica("plain-1").seen.runs();
        (first..first + 10).all(|call| !runs.contains_key(&format!("d-{call}")))
    })
    .await;
}

#[tokio::test(crate = "crate::cores")]
async fn can_follow_the_configuration_after_the_store_lost_its_history() {
    // The store drops the operator's records while the front follows them. The front must read the
    // newest records again, and must never return to an older version.
    let site = Site::start(3, 1).await;
    let front = site.front("a").await;
    site.store.trim("keyed.op", 0);
    let next = records::config(9).replace("/calls/", "/moved/");
    site.store.put("keyed.op", "config", Some(&next));
    wait_until("the new route is active", || async {
        front.call("q-2", "/moved/x").await.0 == 200
    })
    .await;
    site.store
        .put("keyed.op", "config", Some(&records::config(4)));
    site.store.put("keyed.servers", "nobody", Some("{}"));
    let (status, _) = front.call("q-3", "/calls/x").await;
    assert_eq!(status, 404);
}

#[tokio::test(crate = "crate::cores")]
async fn can_serve_its_metrics_on_the_readiness_address() {
    let site = Site::start(3, 1).await;
    let front = site.front("a").await;
    front.call("q-1", "/calls/x").await;
    wait_until("the call is counted", || async {
        let text = front.metrics().await;
        let wanted = "front_calls_answered_total{class=\"interactive\"} count=1\n";
        text.contains(wanted) && text.contains("front_call_ms{class=\"interactive\"} count=1")
    })
    .await;
}

#[tokio::test(crate = "crate::cores")]
async fn can_cancel_a_call_when_its_client_disconnects() {
    // A client closes its connection while a replica works on its call. The front must close its
    // own connection to the replica instead of waiting for the answer, so that the replica stops.
    let site = Site::start_with(3, 1, 600_000).await;
    let front = site.front("a").await;
    let call = front.call("q-1", "/calls/x");
    let working = || {
        site.replicas
            .iter()
            .map(|replica| replica.seen.active_runs())
            .sum::<usize>()
    };
    tokio::select! {
        answer = call => panic!("unexpected answer: {answer:?}"),
        () = wait_until("a replica works on the call", || async { working() > 0 }) => {}
    }
    wait_until("no replica works on the call", || async { working() == 0 }).await;
}

#[tokio::test(crate = "crate::cores")]
async fn is_not_ready_while_the_store_is_silent() {
    // A front is cut off from the store but not from its clients. Trainers could not read their
    // results there, so the front must not be ready until the store is reachable again. It must
    // still answer the calls that it receives.
    let site = Site::start(4, 1).await;
    let front = site.front("a").await;
    front
        .store_listener
        .inject_fault(Fault::new(FaultKind::Silent));
    wait_until("the front is not ready", || async {
        !front.is_ready().await
    })
    .await;
    assert_eq!(front.call("c-1", "/calls/1").await.0, 200);
    front.store_listener.clear_faults();
    wait_until("the front is ready", || front.is_ready()).await;
}

#[tokio::test(crate = "crate::cores")]
async fn stays_ready_while_the_store_refuses_all_calls() {
    // The store answers every call with an error. If no front were ready, the load balancer would
    // use all of them, including those that leave or are gone, and calls that need no store would
    // be lost there.
    let site = Site::start(4, 1).await;
    let front = site.front("a").await;
    front
        .store_listener
        .inject_fault(Fault::new(FaultKind::Outage));
    for _ in 0..25 {
        tokio::time::sleep(std::time::Duration::from_millis(100)).await;
        assert!(front.is_ready().await);
    }
}

/// Statuses that promise that a request has not run and never will.
const PROMISES: [u16; 4] = [429, 503, 408, 421];

/// Moves the replica "plain-2" to another failure domain, so that calls go to "plain-1" first.
fn prefer_plain_1(site: &Site) {
    let replica = site.replica("plain-2");
    let record = records::replica(replica.service, replica.handle.address, "ready", 1);
    let record = record.replace("zone-a", "zone-b");
    site.store.put("keyed.servers", &replica.id, Some(&record));
}

#[tokio::test(crate = "crate::cores")]
async fn errors_without_a_promise_when_an_earlier_attempt_may_have_run() {
    // The first replica runs the call and loses its answer, and the second one refuses the call.
    // The client must not be told that the call has not run.
    for status in PROMISES {
        let site = Site::start(3, 1).await;
        prefer_plain_1(&site);
        let front = site.front("a").await;
        site.replica("plain-1")
            .handle
            .inject_fault(Fault::new(FaultKind::AnswerLost).on("/calls/"));
        site.replica("plain-2").seen.answer_with("q-1", status);
        let (answered, _) = front.call("q-1", "/calls/x").await;
        let runs = site.replica("plain-1").seen.runs();
        assert!(runs.contains_key("q-1"), "{status}: the first attempt runs");
        assert_eq!(answered, 502, "{status}");
    }
}

#[tokio::test(crate = "crate::cores")]
async fn can_wait_for_an_attempt_in_flight_when_the_hedged_request_is_refused() {
    // The first replica is slow and the second one refuses the hedged request. The refusal must not
    // reach the client while the first replica still works on the call.
    for status in PROMISES {
        let site = Site::start_with(3, 1, 700).await;
        prefer_plain_1(&site);
        let front = site.front("a").await;
        site.replica("plain-2").seen.answer_with("q-1", status);
        let (answered, _) = front.call("q-1", "/calls/x").await;
        assert_eq!(answered, 200, "{status}");
    }
}

#[tokio::test(crate = "crate::cores")]
async fn errors_without_a_promise_when_a_refusal_is_not_confirmed() {
    // The refusal lacks the header with which a replica confirms that it did not run the call. The
    // client must not be told that the call has not run, and the call must not go to a second
    // replica.
    for status in [429, 503, 408] {
        let site = Site::start(3, 1).await;
        let front = site.front("a").await;
        for id in ["plain-1", "plain-2"] {
            site.replica(id).seen.answer_with("bid-1", status);
        }
        let (answered, _) = front.call("bid-1", "/bids/x").await;
        assert_eq!((answered, site.runs("bid-1")), (502, vec![0]), "{status}");
    }
}

/// Records of another writer in the replicas' topic, each as key and value.
fn entries_of_another_writer(address: std::net::SocketAddr) -> Vec<(Vec<u8>, Vec<u8>)> {
    let text = |record: serde_json::Value| record.to_string().into_bytes();
    let valid: serde_json::Value =
        serde_json::from_str(&records::replica(records::PLAIN, address, "ready", 1))
            .expect("a valid record");
    let with = |field: &str, value: serde_json::Value| {
        let mut record = valid.clone();
        record[field] = value;
        text(record)
    };
    let without = |field: &str| {
        let mut record = valid.clone();
        record.as_object_mut().expect("an object").remove(field);
        text(record)
    };
    let nested = format!("{}{}", "[".repeat(100_000), "]".repeat(100_000)).into_bytes();
    let port = |port: u32| with("Address", format!("127.0.0.1:{port}").into());
    vec![
        (b"no-fields".to_vec(), b"{}".to_vec()),
        (b"nested".to_vec(), nested),
        (b"large-slots".to_vec(), with("Slots", u32::MAX.into())),
        (b"large-start".to_vec(), with("born", 1e300.into())),
        (b"large-number".to_vec(), b"1e999".to_vec()),
        (b"large-port".to_vec(), port(70_000)),
        (b"port-0".to_vec(), port(0)),
        (b"no-slots".to_vec(), without("Slots")),
        (b"no-domain".to_vec(), without("Zone")),
        (b"unreadable".to_vec(), vec![0xff, 0x00, 0xfe]),
        (vec![0xff, 0xfe], b"{}".to_vec()),
        (
            b"no-address".to_vec(),
            with("Address", serde_json::Value::Null),
        ),
        (b"odd-slots".to_vec(), with("Slots", "many".into())),
        (b"odd-state".to_vec(), with("State", "resting".into())),
        (b"odd-service".to_vec(), with("Service", "nobody".into())),
        (b"odd-start".to_vec(), with("born", "yesterday".into())),
    ]
}

#[tokio::test(crate = "crate::cores")]
async fn can_use_valid_replicas_beside_entries_of_another_writer() {
    // Another program writes to the replicas' topic, before the front starts and while it runs. No
    // entry may become a replica or hide the valid ones.
    let site = Site::start(3, 1).await;
    let stray = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    stray.set_nonblocking(true).expect("set");
    let stray_address = stray.local_addr().expect("bound");
    let write_entries = || {
        for (key, value) in entries_of_another_writer(stray_address) {
            let mut record = vec![key.len() as u8];
            record.extend(key);
            record.extend(value);
            site.store.add("keyed.servers", 0, vec![record.into()]);
        }
    };
    write_entries();
    let front = site.front("a").await;
    write_entries();
    site.write_heartbeat(site.replica("plain-1"), "draining", 1);
    let called = std::sync::atomic::AtomicU32::new(0);
    // The front has read all entries once it obeys the record behind them.
    wait_until("all calls go to the other replica", || async {
        let first = called.fetch_add(10, std::sync::atomic::Ordering::Relaxed);
        for call in first..first + 10 {
            assert_eq!(front.call(&format!("d-{call}"), "/calls/x").await.0, 200);
        }
        let runs = site.replica("plain-1").seen.runs();
        (first..first + 10).all(|call| !runs.contains_key(&format!("d-{call}")))
    })
    .await;
    let connected = stray.accept();
    assert!(
        connected.is_err(),
        "an entry became a replica: {connected:?}"
    );
}
