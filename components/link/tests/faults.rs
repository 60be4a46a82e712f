//! Calls whose connection is cut or goes silent.

mod common;

use bytes::{Bytes, BytesMut};
use common::{Callee, LOOPBACK, Proxy, Way, all, head, key, keys, links, open};
use link::{AnswerSender, CallEvent, Keys, LinkSettings};
use protocol::{Hello, VERSION_MAX, read_caller_hello, write_callee_hello};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use types::{Cause, Failure, RunState};

/// How far a call has come when its connection breaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    HandedOver,
    Accepted,
    Started,
    Head,
    Chunk,
    Ended,
}

use Step::{Accepted, Chunk, Ended, HandedOver, Started};

const STEPS: [Step; 6] = [HandedOver, Accepted, Started, Step::Head, Chunk, Ended];

async fn say(answer: &AnswerSender, step: Step) {
    match step {
        Step::HandedOver => {}
        Step::Accepted => answer.mark_accepted(),
        Step::Started => answer.mark_started(),
        Step::Head => answer.send_head(head()).await,
        Step::Chunk => answer.send_chunk(Bytes::from_static(b"whole")).await,
        Step::Ended => answer.finish(),
    }
}

fn whole() -> Vec<CallEvent> {
    let chunk = CallEvent::Chunk(Bytes::from_static(b"whole"));
    vec![
        CallEvent::Started,
        CallEvent::Head(head()),
        chunk,
        CallEvent::End,
    ]
}

// The caller sees a whole answer, as if nothing had happened. The callee has come to the
// named step when the connection is cut, or carries nothing any more without being closed;
// the answer goes on meanwhile. The caller connects anew and takes the call up by its
// identity, so the callee runs it once.
#[tokio::test]
async fn can_give_a_whole_answer_over_a_broken_connection() {
    let ways = [Way::Cut, Way::Silent].into_iter();
    for (way, last) in ways.flat_map(|way| STEPS.map(|step| (way, step))) {
        let name = format!("{way:?} at {last:?}");
        let mut callee = Callee::start(|_| {}).await;
        let mut proxy = Proxy::start(callee.address).await;
        let links = links(|_| {});
        let mut call = links.call(proxy.address, open(&links, b""));
        let answer = callee.next().await.answer;
        let (before, after): (Vec<_>, Vec<_>) = STEPS.iter().partition(|&&step| step <= last);
        for &step in before {
            say(&answer, step).await;
        }
        proxy.change(way);
        for &step in after {
            say(&answer, step).await;
        }
        let events = all(&mut call).await;
        assert!(events.ends_with(&whole()), "{name}: {events:?}");
        assert_eq!(callee.runs(), 1, "{name}");
        if last < Ended {
            proxy.made(2).await;
        }
    }
}

// The caller sees its calls go on after the connection went silent, and a new call is
// answered as well. Nothing is closed; pings stay without answer, so the caller gives the
// connection up and moves all calls to the next one.
#[tokio::test]
async fn can_move_every_call_from_a_silent_connection() {
    let mut callee = Callee::start(|_| {}).await;
    let mut proxy = Proxy::start(callee.address).await;
    let links = links(|_| {});
    let mut calls = Vec::new();
    let mut answers = Vec::new();
    for _ in 0..5 {
        calls.push(links.call(proxy.address, open(&links, b"")));
        answers.push(callee.next().await.answer);
    }
    proxy.change(Way::Silent);
    proxy.made(2).await;
    calls.push(links.call(proxy.address, open(&links, b"new")));
    answers.push(callee.next().await.answer);
    for answer in answers {
        for step in STEPS {
            say(&answer, step).await;
        }
    }
    for call in &mut calls {
        assert_eq!(all(call).await.pop(), Some(CallEvent::End));
    }
    assert_eq!(callee.runs(), 6);
}

// The caller sees "unknown": its call was running when the callee's process was replaced
// by a new one at the same address. The new life answers with another boot number and
// knows nothing of the call, which may still run at the endpoint.
#[tokio::test]
async fn errors_as_unknown_when_the_callee_was_replaced() {
    let mut callee = Callee::start(|_| {}).await;
    let proxy = Proxy::start(callee.address).await;
    let links = links(|_| {});
    let mut call = links.call(proxy.address, open(&links, b""));
    let answer = callee.next().await.answer;
    answer.mark_accepted();
    assert_eq!(call.next().await, CallEvent::Accepted);
    callee.task.abort();
    let _ = (&mut callee.task).await;
    let next = Callee::start_at(callee.address, |_| {}).await;
    let expected = CallEvent::Failed(Failure::new(RunState::Unknown, Cause::LinkLost));
    assert_eq!(all(&mut call).await, vec![expected]);
    answer.cancelled().await;
    assert_eq!(next.runs(), 0);
}

// The caller sees "unknown" after the time to re-attach: the connection was cut while its
// call was running, and no further connection can be made. It makes no difference whether
// the callee had said so; the request was written whole.
#[tokio::test]
async fn errors_as_unknown_when_the_callee_stays_away() {
    for said in [true, false] {
        let mut callee = Callee::start(|_| {}).await;
        let proxy = Proxy::start(callee.address).await;
        let links = links(|settings| settings.reattach_for_ms = 100);
        let mut call = links.call(proxy.address, open(&links, b""));
        let answer = callee.next().await.answer;
        if said {
            answer.mark_started();
            assert_eq!(call.next().await, CallEvent::Started);
        }
        proxy.later.send_replace(Way::Cut);
        proxy.change(Way::Cut);
        let expected = CallEvent::Failed(Failure::new(RunState::Unknown, Cause::LinkLost));
        assert_eq!(all(&mut call).await, vec![expected]);
    }
}

// The caller sees its whole answer. It takes all that fits the window while the connection
// is silent, so its acknowledgements are lost; they are said again on the next connection,
// without which the window would stay shut for good.
#[tokio::test]
async fn can_open_the_window_again_on_the_next_connection() {
    let mut callee = Callee::start(|settings| settings.window_bytes = 4_096).await;
    let proxy = Proxy::start(callee.address).await;
    let links = links(|settings| settings.window_bytes = 4_096);
    let mut call = links.call(proxy.address, open(&links, b""));
    let answer = callee.next().await.answer;
    let long = Bytes::from(vec![7; 20_000]);
    let sent = long.clone();
    let writing = tokio::spawn(async move {
        answer.send_head(head()).await;
        answer.send_chunk(sent).await;
        answer.finish();
    });
    assert_eq!(call.next().await, CallEvent::Started);
    assert_eq!(call.next().await, CallEvent::Head(head()));
    assert!(matches!(call.next().await, CallEvent::Chunk(_)));
    proxy.change(Way::Silent);
    let events = all(&mut call).await;
    let CallEvent::Chunk(rest) = &events[0] else {
        panic!("{events:?}");
    };
    assert!(rest.len() < long.len() && long.ends_with(rest));
    assert_eq!(events[1..], [CallEvent::End]);
    writing.await.unwrap();
}

/// Calls without a caller: whether the handler hears that nobody wants the answer.
struct Away {
    idempotent: bool,
    name: &'static str,
}

// The caller's process is gone. An idempotent call is cancelled after the grace time, so
// that no work is done for nobody; one that may run once only runs on to its end, and is
// not held up by the window that nobody opens.
#[tokio::test]
async fn can_cancel_what_nobody_waits_for() {
    let cases = [("idempotent", true), ("once only", false)];
    let cases = cases.map(|(name, idempotent)| Away { name, idempotent });
    for case in cases {
        let change = |settings: &mut LinkSettings| {
            settings.grace_ms = 50;
            settings.window_bytes = 1_024;
        };
        let mut callee = Callee::start(change).await;
        let proxy = Proxy::start(callee.address).await;
        let links = links(|_| {});
        let mut wanted = open(&links, b"");
        wanted.idempotent = case.idempotent;
        let _call = links.call(proxy.address, wanted);
        let answer = callee.next().await.answer;
        answer.mark_started();
        answer.send_head(head()).await;
        proxy.later.send_replace(Way::Cut);
        proxy.change(Way::Cut);
        if case.idempotent {
            answer.cancelled().await;
        }
        answer.send_chunk(Bytes::from(vec![1; 10_000])).await;
        answer.finish();
        assert_eq!(callee.runs(), 1, "{}", case.name);
    }
}

fn not_run(cause: Cause) -> Vec<CallEvent> {
    vec![CallEvent::Failed(Failure::not_run(cause))]
}

/// Keys of both sides.
struct KeyCase {
    name: &'static str,
    caller: Keys,
    callee: Keys,
    passes: bool,
}

// The caller sees its call answered if the callee accepts the key it signs with, and "not
// run" otherwise: the greeting is refused, and no call goes out before a greeting.
#[tokio::test]
async fn can_change_keys_and_errors_with_a_wrong_one() {
    let (old, new) = (|| key(1), || key(2));
    let case = |name, caller, callee, passes| KeyCase {
        name,
        caller,
        callee,
        passes,
    };
    let cases = [
        case("wrong key", Keys::one(new()), Keys::one(old()), false),
        case(
            "signed with the old",
            Keys::one(old()),
            Keys::two(new(), old()),
            true,
        ),
        case(
            "signed with the new",
            Keys::two(new(), old()),
            Keys::two(old(), new()),
            true,
        ),
        case(
            "the old is given up",
            Keys::one(old()),
            Keys::one(new()),
            false,
        ),
    ];
    for case in cases {
        let mut callee = Callee::start(|settings| settings.keys = case.callee).await;
        let links = links(|settings| settings.keys = case.caller);
        let mut call = links.call(callee.address, open(&links, b""));
        if case.passes {
            let answer = callee.next().await.answer;
            answer.fail(Failure::not_run(Cause::NotHosted));
        }
        let refused = all(&mut call).await == not_run(Cause::LinkLost);
        assert_eq!(refused, !case.passes, "{}", case.name);
    }
}

// The caller sees "not run" in the time to connect: the peer takes the connection and says
// nothing, as a process that hangs does.
#[tokio::test]
async fn errors_as_not_run_when_the_peer_does_not_greet() {
    let listener = TcpListener::bind(LOOPBACK).await.unwrap();
    let address = listener.local_addr().unwrap();
    let links = links(|settings| settings.connect_timeout_ms = 50);
    let mut call = links.call(address, open(&links, b""));
    assert_eq!(all(&mut call).await, not_run(Cause::LinkLost));
}

#[tokio::test]
async fn errors_as_not_run_when_the_request_is_too_large() {
    let callee = Callee::start(|_| {}).await;
    let links = links(|settings| settings.frame_bytes_max = 1_000);
    let mut call = links.call(callee.address, open(&links, &[0; 2_000]));
    assert_eq!(all(&mut call).await, not_run(Cause::TooLarge));
}

// The caller sees "not run": the deadline passes while the connection is being made.
#[tokio::test]
async fn errors_as_not_run_when_the_deadline_passes_before_the_connection() {
    let listener = TcpListener::bind(LOOPBACK).await.unwrap();
    let address = listener.local_addr().unwrap();
    let links = links(|_| {});
    let mut wanted = open(&links, b"");
    wanted.deadline_left_ms = 30;
    let mut call = links.call(address, wanted);
    assert_eq!(all(&mut call).await, not_run(Cause::DeadlinePassed));
}

// The caller sees "not run": the callee is of a later release and speaks only protocol
// versions that this one does not know; nothing goes out after its greeting.
#[tokio::test]
async fn errors_as_not_run_when_there_is_no_common_version() {
    let listener = TcpListener::bind(LOOPBACK).await.unwrap();
    let address = listener.local_addr().unwrap();
    let links = links(|_| {});
    let mut call = links.call(address, open(&links, b""));
    let (mut stream, _) = listener.accept().await.unwrap();
    let (mut buffer, mut out) = (BytesMut::new(), BytesMut::new());
    let hello = loop {
        stream.read_buf(&mut buffer).await.unwrap();
        if let Some((hello, _)) = read_caller_hello(&mut buffer, &keys()).unwrap() {
            break hello;
        }
    };
    let later = Hello {
        version_min: VERSION_MAX + 1,
        version_max: u16::MAX,
        ..hello.clone()
    };
    write_callee_hello(&later, &key(1), &hello.nonce, &mut out).unwrap();
    stream.write_all(&out).await.unwrap();
    assert_eq!(all(&mut call).await, not_run(Cause::LinkLost));
    assert_eq!(stream.read_buf(&mut buffer).await.unwrap(), 0);
}
