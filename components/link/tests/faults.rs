//! Calls whose connection is closed, goes silent or is not established.

mod common;

use bytes::{Bytes, BytesMut};
use common::{Callee, LOOPBACK, Proxy, ProxyMode, collect_events, head, key, keys, links, open};
use link::{AnswerSender, CallEvent, Keys, LinkSettings};
use protocol::{Hello, VERSION_MAX, read_caller_hello, write_callee_hello};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use types::{Cause, Failure, RunState};

/// How far a call has come when its connection breaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    HandlerStarted,
    Accepted,
    Started,
    Head,
    Chunk,
    Ended,
}

use Step::{Accepted, Chunk, Ended, HandlerStarted, Started};

const STEPS: [Step; 6] = [HandlerStarted, Accepted, Started, Step::Head, Chunk, Ended];

async fn report(answer: &AnswerSender, step: Step) {
    match step {
        Step::HandlerStarted => {}
        Step::Accepted => answer.mark_accepted(),
        Step::Started => answer.mark_started(),
        Step::Head => answer.send_head(head()).await,
        Step::Chunk => answer.send_chunk(Bytes::from_static(b"whole")).await,
        Step::Ended => answer.finish(),
    }
}

fn complete_answer() -> Vec<CallEvent> {
    let chunk = CallEvent::Chunk(Bytes::from_static(b"whole"));
    vec![
        CallEvent::Started,
        CallEvent::Head(head()),
        chunk,
        CallEvent::End,
    ]
}

// A connection that is closed or goes silent at any step of a call must not lose or repeat the
// call. The callee continues the answer meanwhile; the caller reconnects and resumes the call
// by its id, so the caller receives the complete answer and the callee runs the call once.
#[tokio::test]
async fn can_resume_a_call_after_its_connection_breaks() {
    let modes = [ProxyMode::Cut, ProxyMode::Silent].into_iter();
    for (mode, last) in modes.flat_map(|mode| STEPS.map(|step| (mode, step))) {
        let name = format!("{mode:?} at {last:?}");
        let mut callee = Callee::start(|_| {}).await;
        let mut proxy = Proxy::start(callee.address).await;
        let links = links(|_| {});
        let mut call = links.call(proxy.address, open(&links, b""));
        let answer = callee.next().await.answer;
        let (before, after): (Vec<_>, Vec<_>) = STEPS.iter().partition(|&&step| step <= last);
        for &step in before {
            report(&answer, step).await;
        }
        proxy.set_mode(mode);
        for &step in after {
            report(&answer, step).await;
        }
        let events = collect_events(&mut call).await;
        assert!(events.ends_with(&complete_answer()), "{name}: {events:?}");
        assert_eq!(callee.runs(), 1, "{name}");
        if last < Ended {
            proxy.wait_for_connections(2).await;
        }
    }
}

// A connection that stays open but carries no bytes must not block its calls or new ones. The
// pings remain unanswered, so the caller drops the connection and moves all calls to the next.
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
    proxy.set_mode(ProxyMode::Silent);
    proxy.wait_for_connections(2).await;
    calls.push(links.call(proxy.address, open(&links, b"new")));
    answers.push(callee.next().await.answer);
    for answer in answers {
        for step in STEPS {
            report(&answer, step).await;
        }
    }
    for call in &mut calls {
        assert_eq!(collect_events(call).await.pop(), Some(CallEvent::End));
    }
    assert_eq!(callee.runs(), 6);
}

// The callee's process is replaced by a new one at the same address while a call runs. The new
// process has another boot number and does not know the call, which may still run at the
// endpoint, so the caller must get "unknown" and not "not run".
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
    assert_eq!(collect_events(&mut call).await, vec![expected]);
    answer.cancelled().await;
    assert_eq!(next.runs(), 0);
}

// The connection is closed while a call runs, and reconnecting fails until
// `reattach_for_ms` has passed. The request was written completely, so the caller must get
// "unknown", whether or not the callee had reported the start.
#[tokio::test]
async fn errors_as_unknown_when_reconnecting_fails() {
    for started in [true, false] {
        let mut callee = Callee::start(|_| {}).await;
        let proxy = Proxy::start(callee.address).await;
        let links = links(|settings| settings.reattach_for_ms = 100);
        let mut call = links.call(proxy.address, open(&links, b""));
        let answer = callee.next().await.answer;
        if started {
            answer.mark_started();
            assert_eq!(call.next().await, CallEvent::Started);
        }
        proxy.new.send_replace(ProxyMode::Cut);
        proxy.set_mode(ProxyMode::Cut);
        let expected = CallEvent::Failed(Failure::new(RunState::Unknown, Cause::LinkLost));
        assert_eq!(collect_events(&mut call).await, vec![expected]);
    }
}

// The acknowledgements of a full window are lost on a silent connection. The caller must repeat
// them on the next connection; otherwise the callee's window would stay closed and the answer
// would never complete.
#[tokio::test]
async fn can_repeat_acknowledgements_on_the_next_connection() {
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
    proxy.set_mode(ProxyMode::Silent);
    let events = collect_events(&mut call).await;
    let CallEvent::Chunk(rest) = &events[0] else {
        panic!("{events:?}");
    };
    assert!(rest.len() < long.len() && long.ends_with(rest));
    assert_eq!(events[1..], [CallEvent::End]);
    writing.await.unwrap();
}

/// A call whose caller is gone; only an idempotent one is cancelled.
struct CallerGone {
    idempotent: bool,
    name: &'static str,
}

// The caller's process is gone. An idempotent call must be cancelled after the grace time, to
// save work whose result is not needed. Any other call must run to its end and must not block
// on the window, which no caller opens any more.
#[tokio::test]
async fn can_cancel_idempotent_calls_without_a_caller() {
    let cases = [("idempotent", true), ("not idempotent", false)];
    let cases = cases.map(|(name, idempotent)| CallerGone { name, idempotent });
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
        proxy.new.send_replace(ProxyMode::Cut);
        proxy.set_mode(ProxyMode::Cut);
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

/// Keys of both sides, and whether the callee accepts the caller.
struct KeyCase {
    name: &'static str,
    caller: Keys,
    callee: Keys,
    is_accepted: bool,
}

// While keys are rotated, a call must succeed if the callee accepts the key that the caller
// signs with. Otherwise the handshake fails; no call is sent before it, so the caller gets
// "not run".
#[tokio::test]
async fn can_rotate_keys_and_errors_with_an_unaccepted_key() {
    let (old, new) = (|| key(1), || key(2));
    let case = |name, caller, callee, is_accepted| KeyCase {
        name,
        caller,
        callee,
        is_accepted,
    };
    let cases = [
        case("unaccepted key", Keys::one(new()), Keys::one(old()), false),
        case(
            "signed with the old key",
            Keys::one(old()),
            Keys::two(new(), old()),
            true,
        ),
        case(
            "signed with the new key",
            Keys::two(new(), old()),
            Keys::two(old(), new()),
            true,
        ),
        case(
            "the old key is removed",
            Keys::one(old()),
            Keys::one(new()),
            false,
        ),
    ];
    for case in cases {
        let mut callee = Callee::start(|settings| settings.keys = case.callee).await;
        let links = links(|settings| settings.keys = case.caller);
        let mut call = links.call(callee.address, open(&links, b""));
        if case.is_accepted {
            let answer = callee.next().await.answer;
            answer.fail(Failure::not_run(Cause::NotHosted));
        }
        let refused = collect_events(&mut call).await == not_run(Cause::LinkLost);
        assert_eq!(refused, !case.is_accepted, "{}", case.name);
    }
}

// A hung process accepts the connection and sends nothing. The call must fail as "not run"
// within the connect timeout.
#[tokio::test]
async fn errors_as_not_run_when_the_peer_sends_no_hello() {
    let listener = TcpListener::bind(LOOPBACK).await.unwrap();
    let address = listener.local_addr().unwrap();
    let links = links(|settings| settings.connect_timeout_ms = 50);
    let mut call = links.call(address, open(&links, b""));
    assert_eq!(collect_events(&mut call).await, not_run(Cause::LinkLost));
}

#[tokio::test]
async fn errors_as_not_run_when_the_request_is_too_large() {
    let callee = Callee::start(|_| {}).await;
    let links = links(|settings| settings.frame_bytes_max = 1_000);
    let mut call = links.call(callee.address, open(&links, &[0; 2_000]));
    assert_eq!(collect_events(&mut call).await, not_run(Cause::TooLarge));
}

// The deadline passes before the handshake is complete. Nothing was sent, so the call must fail
// as "not run".
#[tokio::test]
async fn errors_as_not_run_when_the_deadline_passes_before_the_connection() {
    let listener = TcpListener::bind(LOOPBACK).await.unwrap();
    let address = listener.local_addr().unwrap();
    let links = links(|_| {});
    let mut wanted = open(&links, b"");
    wanted.deadline_left_ms = 30;
    let mut call = links.call(address, wanted);
    assert_eq!(
        collect_events(&mut call).await,
        not_run(Cause::DeadlinePassed)
    );
}

// The callee is of a later release and speaks only protocol versions that the caller does not
// know. The caller must send nothing after the handshake, so the call fails as "not run".
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
    assert_eq!(collect_events(&mut call).await, not_run(Cause::LinkLost));
    assert_eq!(stream.read_buf(&mut buffer).await.unwrap(), 0);
}
