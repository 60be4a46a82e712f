//! Steps of a trainer through fronts that die, leave, or lose the store.

use std::time::Duration;

use crate::common::{Site, wait_until};
use hyper::Method;
use standins::fleet::records;
use standins::fleet::trainer::whole_text as text;
use standins::{Fault, FaultKind};

#[tokio::test]
async fn can_run_a_step_and_read_it_at_another_front() {
    let site = Site::start(4, 1).await;
    let fronts = [site.front("a").await, site.front("b").await];
    assert_eq!(
        fronts[0].submit("s-1", &records::step(1, 1, 6)).await.0,
        202
    );
    let results = fronts[1].all_results("s-1", 6).await;
    for result in &results {
        assert_eq!(result["State"], "succeeded");
        assert_eq!(result["Text"], text(4));
        assert_eq!(result["Versions"], serde_json::json!([1]));
        let score = result["Id"]
            .as_str()
            .expect("an id")
            .replace("item", "stamp-score");
        assert_eq!(result["Score"], score);
    }
    let again = fronts[0].all_results("s-1", 6).await;
    assert_eq!(again, results, "positions are the same everywhere");
    let (_, page) = fronts[0].results("s-1", 4).await;
    assert_eq!((&page["Total"], &page["NextToken"]), (&6.into(), &6.into()));
    let (status, _, body) = fronts[1]
        .request(Method::GET, "/v1/items/s-1?Id=item-1-0", &[], "")
        .await;
    assert_eq!((status, body.len()), (200, "\u{ab}\u{fffd}".len() + 1));
}

/// Guards against 404 for a step that was accepted elsewhere a moment ago: a front at which nobody
/// waits reads the store each half second.
#[tokio::test]
async fn can_find_a_step_at_an_idle_front_at_once() {
    let site = Site::start(4, 1).await;
    let fronts = [site.front("a").await, site.front("b").await];
    // The second one has read what there is, and pauses.
    tokio::time::sleep(Duration::from_millis(400)).await;
    for step in 0..4 {
        let id = format!("s-{step}");
        let submitted = fronts[0].submit(&id, &records::step(1, 1, 2)).await;
        assert_eq!(submitted.0, 202);
        assert_eq!(fronts[1].results(&id, 0).await.0, 200, "{id}");
        let path = format!("/v1/lots/{id}");
        let (status, _, body) = fronts[1].request(Method::DELETE, &path, &[], "").await;
        assert_eq!((status, body.contains("Results")), (200, false), "{id}");
    }
}

#[tokio::test]
async fn can_read_results_that_come_shortly_after_one_another_at_once() {
    // Items end in rows, as replicas run eight at a time, some 60 ms apart. A
    // trainer pauses between its reads; answered with the first row alone, it would hear of
    // the last one a pause later and begin to train as much later.
    let site = Site::start(3, 20).await;
    let front = site.front("a").await;
    assert_eq!(front.submit("s-1", &records::step(1, 1, 16)).await.0, 202);
    let (status, page) = front.results("s-1", 0).await;
    assert_eq!(status, 200);
    assert_eq!(page["NextToken"], 16, "in one read");
}

#[tokio::test]
async fn can_accept_a_repeated_step_once_and_refuse_another_one_under_its_id() {
    let site = Site::start(2, 1).await;
    let fronts = [site.front("a").await, site.front("b").await];
    let step = records::step(1, 1, 2);
    assert_eq!(fronts[0].submit("s-1", &step).await.0, 202);
    fronts[1].all_results("s-1", 2).await;
    assert_eq!(fronts[1].submit("s-1", &step).await.0, 202);
    assert_eq!(
        fronts[1].submit("s-1", &records::step(2, 1, 2)).await.0,
        409
    );
    assert_eq!(site.runs("item-1-0"), [0]);
}

#[tokio::test]
async fn errors_as_not_accepted_only_when_nothing_will_run() {
    // The store turns this front away. The trainer is told to come again, and whatever
    // happens later, nothing of that step runs. Another front takes it.
    let site = Site::start(2, 1).await;
    let fronts = [site.front("a").await, site.front("b").await];
    fronts[0]
        .store_listener
        .fault(Fault::new(FaultKind::Outage).on("/v1/log-append"));
    let (status, again) = fronts[0].submit("s-1", &records::step(1, 1, 2)).await;
    assert_eq!(status, 503);
    assert!(again.is_some());
    assert!(site.runs("item-1-0").is_empty());
    assert_eq!(
        fronts[1].submit("s-1", &records::step(1, 1, 2)).await.0,
        202
    );
    fronts[1].all_results("s-1", 2).await;
}

#[tokio::test]
async fn can_accept_a_step_whose_record_landed_without_an_answer() {
    // The store carries the appends out and loses the answers. The front must not say that
    // the step is not accepted, as its items run; it appends again and the step is one.
    let site = Site::start(2, 1).await;
    let front = site.front("a").await;
    front.store_listener.fault(
        Fault::new(FaultKind::AnswerLost)
            .on("/v1/log-append")
            .times(2),
    );
    assert_eq!(front.submit("s-1", &records::step(1, 1, 2)).await.0, 202);
    let results = front.all_results("s-1", 2).await;
    assert_eq!(results.len(), 2);
}

#[tokio::test]
async fn can_count_a_reward_call_that_always_fails_once_each() {
    // A scorer answers 500 to one item for ever. The item is errored after as many calls as
    // the route allows; repeated inside the call and counted outside, they were four times
    // as many, and the step ended seconds late.
    let site = Site::start(2, 1).await;
    for replica in &site.replicas {
        replica.seen.answer_with("score-1-0", 500);
    }
    let front = site.front("a").await;
    assert_eq!(front.submit("s-1", &records::step(1, 1, 2)).await.0, 202);
    let results = front.all_results("s-1", 2).await;
    let failed = results
        .iter()
        .find(|result| result["Id"] == "item-1-0")
        .expect("listed");
    assert_eq!(failed["State"], "errored");
    assert_eq!(site.runs("score-1-0").len(), 3);
}

#[tokio::test]
async fn can_end_items_that_fail_or_can_never_be_done() {
    let site = Site::start(2, 1).await;
    for replica in &site.replicas {
        replica.seen.answer_with("item-1-0", 500);
        replica.seen.answer_with("item-1-1", 422);
    }
    let front = site.front("a").await;
    assert_eq!(front.submit("s-1", &records::step(1, 1, 4)).await.0, 202);
    let results = front.all_results("s-1", 4).await;
    let errored = results.iter().filter(|result| result["State"] == "errored");
    assert_eq!(errored.count(), 2);
    assert_eq!(
        site.runs("item-1-0").len(),
        3,
        "as many as the route allows"
    );
    assert_eq!(site.runs("item-1-1").len(), 1);
}

#[tokio::test]
async fn can_go_on_behind_the_last_event_when_a_stream_breaks() {
    // A replica closes its connection in the middle of its streams. Another run goes on
    // behind the last event; nothing is missing and nothing stands twice.
    let site = Site::start(12, 1).await;
    let front = site.front("a").await;
    let cut = |after| Fault {
        after,
        ..Fault::new(FaultKind::Cut).on(records::STEPS).times(2)
    };
    site.replica("engine-1").handle.fault(cut(5));
    site.replica("engine-2").handle.fault(cut(3));
    assert_eq!(front.submit("s-1", &records::step(1, 1, 4)).await.0, 202);
    for result in front.all_results("s-1", 4).await {
        assert_eq!(result["Text"], text(12));
    }
}

#[tokio::test]
async fn can_finish_a_text_whose_stream_broke_behind_its_last_event() {
    // A replica closes its connection between the last event and the end of the stream. The
    // next run is asked behind that event, brings none, and ends: the text is whole. Taken
    // for a broken run, the item ran again and again, and its step came too late.
    let site = Site::start(5, 1).await;
    let front = site.front("a").await;
    for id in ["engine-1", "engine-2"] {
        let cut = Fault {
            after: 5,
            ..Fault::new(FaultKind::Cut).on(records::STEPS).times(2)
        };
        site.replica(id).handle.fault(cut);
    }
    assert_eq!(front.submit("s-1", &records::step(1, 1, 2)).await.0, 202);
    for result in front.all_results("s-1", 2).await {
        assert_eq!(result["Text"], text(5));
    }
    assert!(
        site.runs("item-1-0").contains(&5),
        "{:?}",
        site.runs("item-1-0")
    );
}

#[tokio::test]
async fn can_take_over_from_a_runner_that_dies_behind_what_it_saved() {
    // Two fronts; the one that runs the step dies in the middle of two long items. The other
    // one takes its models over and goes on behind the saved events, so that an item of
    // seconds is not begun anew.
    let site = Site::start(60, 40).await;
    let mut fronts = vec![site.front("a").await, site.front("b").await];
    assert_eq!(
        fronts[0].submit("s-1", &records::step(1, 1, 2)).await.0,
        202
    );
    wait_until("pieces are saved", || async {
        site.store.end("index", 0) >= 8
    })
    .await;
    tokio::time::sleep(Duration::from_millis(700)).await;
    // Only one of them runs the items; if it is the other one, that one dies instead.
    fronts.remove(0);
    let rest = fronts.remove(0);
    for result in rest.all_results("s-1", 2).await {
        assert_eq!(result["Text"], text(60));
    }
    let runs = site.runs("item-1-0");
    let taken_up = runs.len() == 1 || runs.iter().any(|after| *after > 0);
    assert!(taken_up, "the second run began behind an event: {runs:?}");
}

#[tokio::test]
async fn can_finish_what_it_runs_while_it_leaves() {
    // The front gets the stop signal in the middle of items of seconds. It is not ready at once,
    // and another front has its shards; but it makes the items whole itself, and the other one,
    // which was told, begins none of them. Begun again, all items of a step would stand still
    // together while they change hands.
    let site = Site::start(60, 40).await;
    let mut front = site.front("a").await;
    assert_eq!(front.submit("s-1", &records::step(1, 1, 2)).await.0, 202);
    let next = site.front("b").await;
    wait_until("the items run", || async {
        !site.runs("item-1-0").is_empty() && !site.runs("item-1-1").is_empty()
    })
    .await;
    tokio::time::sleep(Duration::from_millis(400)).await;
    front.stop();
    wait_until("it is not ready", || async { !front.is_ready().await }).await;
    for result in next.all_results("s-1", 2).await {
        assert_eq!(result["Text"], text(60));
    }
    assert_eq!(
        (site.runs("item-1-0"), site.runs("item-1-1")),
        (vec![0], vec![0])
    );
}

#[tokio::test]
async fn can_hand_a_step_over_when_its_front_leaves() {
    // The front gets the stop signal in the middle of items that take longer than it has. It
    // makes them for as long as it may, saves what there is, and another front goes on.
    let site = Site::start(60, 130).await;
    let mut front = site.front("a").await;
    assert_eq!(front.submit("s-1", &records::step(1, 1, 2)).await.0, 202);
    wait_until("the items run", || async {
        !site.runs("item-1-0").is_empty()
    })
    .await;
    tokio::time::sleep(Duration::from_millis(400)).await;
    front.stop();
    wait_until("it is not ready", || async { !front.is_ready().await }).await;
    let next = site.front("b").await;
    for result in next.all_results("s-1", 2).await {
        assert_eq!(result["Text"], text(60));
    }
    let runs = site.runs("item-1-0");
    assert!(
        runs.len() == 2 && runs.iter().any(|after| *after > 30),
        "{runs:?}"
    );
}

#[tokio::test]
async fn can_take_over_from_a_front_that_dies_while_it_leaves() {
    // A leaving front says that it goes on with its items, and is killed. What it had must not
    // stand still until its time is up: another front begins where the last piece ends.
    let site = Site::start(60, 60).await;
    let mut front = site.front("a").await;
    assert_eq!(front.submit("s-1", &records::step(1, 1, 2)).await.0, 202);
    let next = site.front("b").await;
    wait_until("the items run", || async {
        !site.runs("item-1-0").is_empty()
    })
    .await;
    tokio::time::sleep(Duration::from_millis(400)).await;
    front.stop();
    tokio::time::sleep(Duration::from_millis(700)).await;
    drop(front);
    for result in next.all_results("s-1", 2).await {
        assert_eq!(result["Text"], text(60));
    }
    let runs = site.runs("item-1-0");
    assert!(
        runs.len() == 2 && runs.iter().any(|after| *after > 0),
        "{runs:?}"
    );
}

#[tokio::test]
async fn can_finish_items_while_the_store_is_away() {
    // The store is away for longer than a membership lasts while items of seconds run. Nobody
    // else can take them over, so they are finished and listed when it returns; stopped, they
    // would end a step late that was nearly whole.
    let site = Site::start(60, 40).await;
    let front = site.front("a").await;
    assert_eq!(front.submit("s-1", &records::step(1, 1, 2)).await.0, 202);
    wait_until("the items run", || async {
        !site.runs("item-1-0").is_empty() && !site.runs("item-1-1").is_empty()
    })
    .await;
    front.store_listener.fault(Fault::new(FaultKind::Outage));
    tokio::time::sleep(Duration::from_millis(3_000)).await;
    front.store_listener.clear_faults();
    for result in front.all_results("s-1", 2).await {
        assert_eq!(result["Text"], text(60));
    }
    assert_eq!(
        (site.runs("item-1-0"), site.runs("item-1-1")),
        (vec![0], vec![0])
    );
}

#[tokio::test]
async fn can_wait_for_what_was_saved_of_a_text() {
    // A front dies in the middle of long items, and the next one has their data but is refused
    // what was saved of them, as the store comes and goes. It could list nothing now anyway;
    // begun from the first event, the items would end as late as if nothing had been saved.
    let site = Site::start(100, 40).await;
    let front = site.front("a").await;
    let next = site.small_front("s").await;
    assert_eq!(next.submit("s-1", &records::step(1, 1, 2)).await.0, 202);
    wait_until("the items run", || async {
        !site.runs("item-1-0").is_empty() && !site.runs("item-1-1").is_empty()
    })
    .await;
    tokio::time::sleep(Duration::from_millis(1_200)).await;
    let pieces = ownership::partition_of("a", 24);
    let read = format!("/v1/log-read?Topic=data&part={pieces}&");
    next.store_listener
        .fault(Fault::new(FaultKind::Outage).on(read));
    drop(front);
    wait_until("the next front has the shard", || async {
        let owners = site.store.owners_of("fronts");
        owners.iter().any(|(_, owner)| owner == "standby:s")
    })
    .await;
    tokio::time::sleep(Duration::from_millis(800)).await;
    next.store_listener.clear_faults();
    for result in next.all_results("s-1", 2).await {
        assert_eq!(result["Text"], text(100));
    }
    for item in ["item-1-0", "item-1-1"] {
        let runs = site.runs(item);
        let anew = runs.iter().filter(|after| **after == 0);
        assert_eq!(anew.count(), 1, "{item}: {runs:?}");
    }
}

#[tokio::test]
async fn can_send_a_trainer_on_at_once_while_the_store_is_silent() {
    // A front was cut off from the store a second ago, and a trainer reads there before the
    // balancer has turned away. The texts can't be read; told so after the time that it would
    // wait for news and that of a call to the store, the trainer loses more than two seconds.
    let site = Site::start(2, 1).await;
    let front = site.front("a").await;
    assert_eq!(front.submit("s-1", &records::step(1, 1, 2)).await.0, 202);
    front.all_results("s-1", 2).await;
    front.store_listener.fault(Fault::new(FaultKind::Silent));
    // A read that was under way ends once more.
    tokio::time::sleep(Duration::from_millis(1_600)).await;
    let began = std::time::Instant::now();
    assert_eq!(front.results("s-1", 0).await.0, 503);
    assert!(began.elapsed() < Duration::from_millis(500));
}

#[tokio::test]
async fn can_leave_without_losing_what_it_makes_while_the_store_is_away() {
    // The stop signal comes while the store is away: nothing can be saved, and nobody takes
    // over. The front stays within its time, finishes its items and lists them when the store
    // is back; another front has nothing left to run.
    let site = Site::start(60, 40).await;
    let mut front = site.front("a").await;
    assert_eq!(front.submit("s-1", &records::step(1, 1, 2)).await.0, 202);
    wait_until("the items run", || async {
        !site.runs("item-1-0").is_empty() && !site.runs("item-1-1").is_empty()
    })
    .await;
    front.store_listener.fault(Fault::new(FaultKind::Outage));
    tokio::time::sleep(Duration::from_millis(1_200)).await;
    front.stop();
    tokio::time::sleep(Duration::from_millis(2_000)).await;
    front.store_listener.clear_faults();
    wait_until("it has left", || async { front.task.is_finished() }).await;
    let next = site.front("b").await;
    for result in next.all_results("s-1", 2).await {
        assert_eq!(result["Text"], text(60));
    }
    assert_eq!(
        (site.runs("item-1-0"), site.runs("item-1-1")),
        (vec![0], vec![0])
    );
}

#[tokio::test]
async fn can_stop_the_items_of_a_step_that_was_ended() {
    let site = Site::start(400, 20).await;
    let front = site.front("a").await;
    assert_eq!(front.submit("s-1", &records::step(1, 1, 2)).await.0, 202);
    wait_until("the items run", || async {
        !site.runs("item-1-0").is_empty()
    })
    .await;
    let (status, _, _) = front.request(Method::DELETE, "/v1/lots/s-1", &[], "").await;
    assert_eq!(status, 200);
    let (status, _, _) = front.request(Method::DELETE, "/v1/lots/s-1", &[], "").await;
    assert_eq!(status, 200, "again");
    let (_, page) = front.results("s-1", 0).await;
    assert_eq!(page["Results"], serde_json::json!([]));
}

#[tokio::test]
async fn errors_without_saying_that_a_step_is_missing_while_the_log_is_not_read() {
    // The store turns this front away, and a step is accepted elsewhere. A trainer that asks
    // here must not hear that there is no such step.
    let site = Site::start(2, 1).await;
    let fronts = [site.front("a").await, site.front("b").await];
    assert_eq!(fronts[0].results("s-1", 0).await.0, 404);
    fronts[0]
        .store_listener
        .fault(Fault::new(FaultKind::Outage));
    assert_eq!(
        fronts[1].submit("s-1", &records::step(1, 1, 2)).await.0,
        202
    );
    fronts[1].all_results("s-1", 2).await;
    wait_until("the front is not sure", || async {
        fronts[0].results("s-1", 0).await.0 == 503
    })
    .await;
    fronts[0].store_listener.clear_faults();
    wait_until("it knows the step", || async {
        fronts[0].results("s-1", 0).await.0 == 200
    })
    .await;
}

#[tokio::test]
async fn can_make_a_text_by_one_version_where_the_route_asks_for_it() {
    // Both replicas break off a text, and hold another version when it goes on. Where a route
    // asks for one version, the text is begun anew; elsewhere it goes on and names both.
    struct Case {
        name: &'static str,
        single_version: bool,
        versions: serde_json::Value,
    }
    let cases = [
        Case {
            name: "one version",
            single_version: true,
            versions: serde_json::json!([2]),
        },
        Case {
            name: "any",
            single_version: false,
            versions: serde_json::json!([1, 2]),
        },
    ];
    for case in cases {
        let site = Site::start(12, 20).await;
        let single = format!(
            "\"RetentionS\":40.0,\"SingleVersion\":{}",
            case.single_version
        );
        let config = records::config(4).replace("\"RetentionS\":40.0", &single);
        site.store.put("keyed.op", "config", Some(&config));
        let front = site.front("a").await;
        let engines = ["engine-1", "engine-2"].map(|id| site.replica(id));
        for engine in engines {
            let cut = Fault {
                after: 5,
                ..Fault::new(FaultKind::Cut).on(records::STEPS).times(2)
            };
            engine.handle.fault(cut);
        }
        assert_eq!(front.submit("s-1", &records::step(1, 1, 2)).await.0, 202);
        wait_until("the items run", || async {
            !site.runs("item-1-0").is_empty() && !site.runs("item-1-1").is_empty()
        })
        .await;
        for engine in engines {
            engine.seen.set_version(2);
            site.write_heartbeat(engine, "ready", 2);
        }
        for result in front.all_results("s-1", 2).await {
            assert_eq!(result["Text"], text(12), "{}", case.name);
            assert_eq!(result["Versions"], case.versions, "{}", case.name);
        }
    }
}
