//! Calls over loopback sockets without connection faults.

mod common;

use bytes::Bytes;
use common::{Callee, collect_events, head, links, open};
use link::CallEvent;
use types::{Cause, Failure, RunState};

#[tokio::test]
async fn can_receive_a_complete_answer() {
    let mut callee = Callee::start(|_| {}).await;
    let links = links(|_| {});
    let mut call = links.call(callee.address, open(&links, b"body"));
    let incoming = callee.next().await;
    assert_eq!(&incoming.open.body[..], b"body");
    let answer = incoming.answer;
    answer.mark_accepted();
    answer.mark_started();
    answer.send_head(head()).await;
    answer.send_chunk(Bytes::from_static(b"one")).await;
    answer.send_chunk(Bytes::from_static(b"two")).await;
    answer.finish();
    let expected = vec![
        CallEvent::Accepted,
        CallEvent::Started,
        CallEvent::Head(head()),
        CallEvent::Chunk(Bytes::from_static(b"onetwo")),
        CallEvent::End,
    ];
    assert_eq!(collect_events(&mut call).await, expected);
    assert_eq!(call.next().await, CallEvent::End);
}

/// How far a call has come when its handler drops it, and the run state that the caller gets.
struct DropCase {
    name: &'static str,
    started: bool,
    head: bool,
    expected: RunState,
}

#[tokio::test]
async fn errors_when_the_handler_drops_the_call() {
    let cases = [
        DropCase {
            name: "before start",
            started: false,
            head: false,
            expected: RunState::NotRun,
        },
        DropCase {
            name: "after start",
            started: true,
            head: false,
            expected: RunState::Unknown,
        },
        DropCase {
            name: "during the answer",
            started: true,
            head: true,
            expected: RunState::Failed,
        },
    ];
    for case in cases {
        let mut callee = Callee::start(|_| {}).await;
        let links = links(|_| {});
        let mut call = links.call(callee.address, open(&links, b""));
        let answer = callee.next().await.answer;
        if case.started {
            answer.mark_started();
        }
        if case.head {
            answer.send_head(head()).await;
        }
        drop(answer);
        let failure = Failure::new(case.expected, Cause::Internal);
        let last = collect_events(&mut call).await.pop();
        assert_eq!(last, Some(CallEvent::Failed(failure)), "{}", case.name);
    }
}

#[tokio::test]
async fn can_cancel_by_dropping_the_call() {
    let mut callee = Callee::start(|_| {}).await;
    let links = links(|_| {});
    let call = links.call(callee.address, open(&links, b""));
    let answer = callee.next().await.answer;
    answer.mark_started();
    drop(call);
    // Less than the deadline of 20 s, at which the call would be cancelled anyway.
    let limit = std::time::Duration::from_secs(10);
    tokio::time::timeout(limit, answer.cancelled())
        .await
        .unwrap();
}

#[tokio::test]
async fn errors_as_not_run_when_the_connection_is_refused() {
    let links = links(|_| {});
    let listener = tokio::net::TcpListener::bind(common::LOOPBACK)
        .await
        .unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let mut call = links.call(address, open(&links, b""));
    let expected = CallEvent::Failed(Failure::not_run(Cause::LinkLost));
    assert_eq!(collect_events(&mut call).await, vec![expected]);
}

// A caller that does not read its answer must not block other calls on the same connection:
// its handler waits for the window while the other call is answered completely.
#[tokio::test]
async fn can_answer_one_call_while_another_is_not_read() {
    let mut callee = Callee::start(|settings| settings.window_bytes = 4_096).await;
    let links = links(|settings| settings.window_bytes = 4_096);
    let long = Bytes::from(vec![7; 100_000]);
    let mut slow = links.call(callee.address, open(&links, b"slow"));
    let slow_answer = callee.next().await.answer;
    let sent = long.clone();
    let writing = tokio::spawn(async move {
        slow_answer.send_head(head()).await;
        slow_answer.send_chunk(sent).await;
        slow_answer.finish();
    });
    let mut quick = links.call(callee.address, open(&links, b"quick"));
    let quick_answer = callee.next().await.answer;
    quick_answer.send_head(head()).await;
    quick_answer.send_chunk(Bytes::from_static(b"here")).await;
    quick_answer.finish();
    assert_eq!(collect_events(&mut quick).await.pop(), Some(CallEvent::End));
    tokio::task::yield_now().await;
    assert!(
        !writing.is_finished(),
        "the handler of the slow call did not wait for its window"
    );
    let events = collect_events(&mut slow).await;
    assert_eq!(events[2], CallEvent::Chunk(long));
    assert_eq!(events[3], CallEvent::End);
    writing.await.unwrap();
}

#[tokio::test]
async fn can_stop_only_after_the_last_call() {
    let mut callee = Callee::start(|_| {}).await;
    let links = links(|_| {});
    let mut early = links.call(callee.address, open(&links, b""));
    let answer = callee.next().await.answer;
    callee.stop.send_replace(true);
    let refused = CallEvent::Failed(Failure::not_run(Cause::Leaving));
    // The order to stop and a new call reach the callee on different paths, so some calls may
    // be accepted before the first refusal.
    loop {
        let mut late = links.call(callee.address, open(&links, b"late"));
        let event = tokio::select! {
            event = late.next() => Some(event),
            _ = callee.calls.recv() => None,
        };
        if event == Some(refused.clone()) {
            break;
        }
    }
    answer.send_head(head()).await;
    answer.finish();
    assert_eq!(collect_events(&mut early).await.pop(), Some(CallEvent::End));
    callee.task.await.unwrap();
}
