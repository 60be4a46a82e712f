//! Exchanges with an endpoint: classification of failures, and completeness of answers.

mod support;

use std::net::SocketAddr;

use adapters::{
    AnswerLoss, Endpoint, EndpointSettings, MalformedPart, NotSentCause, PlatformError, Request,
};
use support::{AfterAnswer, RawServer};

const LONG_DEADLINE_MS: u64 = 20_000;
const SHORT_DEADLINE_MS: u64 = 300;

async fn read_answer(endpoint: &Endpoint, deadline_ms: u64) -> Result<Vec<u8>, PlatformError> {
    let response = endpoint.send(Request::new("GET", "/"), deadline_ms).await?;
    Ok(response.body.read_to_end().await?.to_vec())
}

fn endpoint(address: SocketAddr) -> Endpoint {
    let settings = EndpointSettings {
        body_bytes_max: 64,
        ..EndpointSettings::default()
    };
    Endpoint::new(address, settings)
}

#[tokio::test]
async fn classifies_the_outcome_of_each_exchange() {
    struct Case {
        name: &'static str,
        answer: &'static str,
        then: AfterAnswer,
        deadline_ms: u64,
        expected: Result<&'static str, PlatformError>,
    }
    let lost = |loss| Err(PlatformError::OutcomeUnknown(loss));
    let before = AnswerLoss::ClosedBeforeAnswer { reused: false };
    let cases = [
        Case {
            name: "complete by its stated length",
            answer: "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello",
            then: AfterAnswer::Hold,
            deadline_ms: LONG_DEADLINE_MS,
            expected: Ok("hello"),
        },
        Case {
            name: "complete by its chunked end",
            answer: "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
            then: AfterAnswer::Hold,
            deadline_ms: LONG_DEADLINE_MS,
            expected: Ok("hello"),
        },
        Case {
            name: "no body by its status",
            answer: "HTTP/1.1 204 No Content\r\n\r\n",
            then: AfterAnswer::Hold,
            deadline_ms: LONG_DEADLINE_MS,
            expected: Ok(""),
        },
        Case {
            name: "closed before any byte of the answer",
            answer: "",
            then: AfterAnswer::Close,
            deadline_ms: LONG_DEADLINE_MS,
            expected: lost(before),
        },
        Case {
            name: "closed inside the head",
            answer: "HTTP/1.1 200 OK\r\ncontent-le",
            then: AfterAnswer::Close,
            deadline_ms: LONG_DEADLINE_MS,
            expected: lost(before),
        },
        Case {
            name: "closed before the stated length",
            answer: "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhello",
            then: AfterAnswer::Close,
            deadline_ms: LONG_DEADLINE_MS,
            expected: lost(AnswerLoss::ClosedMidAnswer),
        },
        Case {
            name: "closed before the chunked end",
            answer: "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n",
            then: AfterAnswer::Close,
            deadline_ms: LONG_DEADLINE_MS,
            expected: lost(AnswerLoss::ClosedMidAnswer),
        },
        Case {
            name: "closed with neither length nor chunked encoding",
            answer: "HTTP/1.1 200 OK\r\n\r\nhello",
            then: AfterAnswer::Close,
            deadline_ms: LONG_DEADLINE_MS,
            expected: lost(AnswerLoss::NoStatedEnd),
        },
        Case {
            name: "silent before the answer",
            answer: "",
            then: AfterAnswer::Hold,
            deadline_ms: SHORT_DEADLINE_MS,
            expected: lost(AnswerLoss::DeadlinePassed),
        },
        Case {
            name: "silent inside the answer",
            answer: "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhello",
            then: AfterAnswer::Hold,
            deadline_ms: SHORT_DEADLINE_MS,
            expected: lost(AnswerLoss::DeadlinePassed),
        },
        Case {
            name: "not HTTP",
            answer: "SSH-2.0-server\r\n\r\n",
            then: AfterAnswer::Hold,
            deadline_ms: LONG_DEADLINE_MS,
            expected: Err(PlatformError::Malformed(MalformedPart::Http)),
        },
        Case {
            name: "over the limit of 64 bytes",
            answer: "HTTP/1.1 200 OK\r\ncontent-length: 65\r\n\r\n\
                     0123456789012345678901234567890123456789012345678901234567890123X",
            then: AfterAnswer::Hold,
            deadline_ms: LONG_DEADLINE_MS,
            expected: Err(PlatformError::TooLarge(64)),
        },
        Case {
            name: "no time left",
            answer: "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello",
            then: AfterAnswer::Hold,
            deadline_ms: 0,
            expected: Err(PlatformError::NotSent(NotSentCause::DeadlinePassed)),
        },
    ];
    for case in cases {
        let server = RawServer::start(vec![(case.answer, case.then)]).await;
        let got = read_answer(&endpoint(server.address), case.deadline_ms).await;
        let expected = case.expected.map(|text| text.as_bytes().to_vec());
        assert_eq!(got, expected, "{}", case.name);
    }
}

#[tokio::test]
async fn errors_as_not_sent_when_nobody_listens() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let error = read_answer(&endpoint(address), LONG_DEADLINE_MS)
        .await
        .unwrap_err();
    assert_eq!(error, PlatformError::NotSent(NotSentCause::Unreachable));
    assert!(!error.may_have_taken_effect());
}

#[tokio::test]
async fn errors_as_not_sent_when_the_request_is_not_valid_http() {
    let server = RawServer::start(vec![("", AfterAnswer::Hold)]).await;
    let mut requests = [
        Request::new("G ET", "/"),
        Request::new("GET", "no-slash"),
        Request::new("GET", "/with space"),
        Request::new("GET", "/"),
    ];
    requests[3].headers = vec![("x-two-lines".to_owned(), "a\r\nb: c".to_owned())];
    for request in requests {
        let name = format!("{request:?}");
        let sent = endpoint(server.address)
            .send(request, LONG_DEADLINE_MS)
            .await;
        let expected = PlatformError::NotSent(NotSentCause::BadRequest);
        assert_eq!(sent.err(), Some(expected), "{name}");
    }
    assert_eq!(server.connections(), 0);
}

#[tokio::test]
async fn can_reuse_a_connection_after_a_complete_answer() {
    let answer = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello";
    let server = RawServer::start(vec![(answer, AfterAnswer::Serve)]).await;
    let endpoint = endpoint(server.address);
    for _ in 0..3 {
        assert_eq!(
            read_answer(&endpoint, LONG_DEADLINE_MS).await,
            Ok(b"hello".to_vec())
        );
    }
    assert_eq!(server.connections(), 1);
    let fresh = Request {
        reuse: false,
        ..Request::new("GET", "/")
    };
    let response = endpoint.send(fresh, LONG_DEADLINE_MS).await.unwrap();
    assert_eq!(response.head.status, 200);
    assert_eq!(server.connections(), 2);
}

/// Guards against a client that keeps using connections which no longer carry data: the first
/// connection answers one request and then goes silent, so that the second request misses its
/// deadline. The third request must get a new connection.
#[tokio::test]
async fn errors_when_a_reused_connection_goes_silent_and_then_opens_a_new_one() {
    let answer = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello";
    let server = RawServer::start(vec![
        (answer, AfterAnswer::Hold),
        (answer, AfterAnswer::Serve),
    ])
    .await;
    let endpoint = endpoint(server.address);
    assert_eq!(
        read_answer(&endpoint, LONG_DEADLINE_MS).await,
        Ok(b"hello".to_vec())
    );
    let late = PlatformError::OutcomeUnknown(AnswerLoss::DeadlinePassed);
    assert_eq!(read_answer(&endpoint, SHORT_DEADLINE_MS).await, Err(late));
    assert_eq!(server.connections(), 1);
    assert_eq!(
        read_answer(&endpoint, LONG_DEADLINE_MS).await,
        Ok(b"hello".to_vec())
    );
    assert_eq!(server.connections(), 2);
}

/// Guards against a request that runs twice: the server reads a request on a reused connection and
/// closes it without an answer. Nobody knows whether the request ran, so it must not be resent.
#[tokio::test]
async fn errors_when_a_reused_connection_closes_under_a_request() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let server = tokio::spawn(async move {
        use tokio::io::{AsyncReadExt, AsyncWriteExt};
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut bytes = [0; 1024];
        assert!(stream.read(&mut bytes).await.unwrap() > 0);
        let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
        stream.write_all(answer).await.unwrap();
        assert!(stream.read(&mut bytes).await.unwrap() > 0);
        drop(stream);
        listener
    });
    let endpoint = endpoint(address);
    assert_eq!(
        read_answer(&endpoint, LONG_DEADLINE_MS).await,
        Ok(b"ok".to_vec())
    );
    let lost = PlatformError::OutcomeUnknown(AnswerLoss::ClosedBeforeAnswer { reused: true });
    assert_eq!(read_answer(&endpoint, LONG_DEADLINE_MS).await, Err(lost));
    // There is no second connection to accept.
    let listener = server.await.unwrap().into_std().unwrap();
    assert!(listener.accept().is_err());
}

#[tokio::test]
async fn can_use_another_connection_when_an_idle_one_was_closed() {
    let answer = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\nconnection: close\r\n\r\nhello";
    let server = RawServer::start(vec![(answer, AfterAnswer::Close)]).await;
    let endpoint = endpoint(server.address);
    for _ in 0..3 {
        assert_eq!(
            read_answer(&endpoint, LONG_DEADLINE_MS).await,
            Ok(b"hello".to_vec())
        );
    }
    assert_eq!(server.connections(), 3);
}

#[tokio::test]
async fn repeats_the_error_of_an_incomplete_body() {
    let answer = "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhello";
    let server = RawServer::start(vec![(answer, AfterAnswer::Close)]).await;
    let request = Request::new("GET", "/");
    let response = endpoint(server.address)
        .send(request, LONG_DEADLINE_MS)
        .await;
    let mut body = response.unwrap().body;
    let lost = Err(PlatformError::OutcomeUnknown(AnswerLoss::ClosedMidAnswer));
    let first = body.next().await;
    assert_eq!(first.unwrap().as_deref(), Some(b"hello".as_slice()));
    assert_eq!(body.next().await, lost);
    assert_eq!(body.next().await, lost);
}

#[tokio::test]
async fn drops_hop_by_hop_headers() {
    let answer = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\nkeep-alive: timeout=5\r\n\
                  connection: keep-alive, x-hop\r\nx-hop: 1\r\nx-kept: 2\r\n\r\n";
    let mut server = RawServer::start(vec![(answer, AfterAnswer::Serve)]).await;
    let sent = [
        ("host", "elsewhere"),
        ("transfer-encoding", "chunked"),
        ("content-length", "99"),
        ("upgrade", "websocket"),
        ("x-request-tag", "t1"),
    ];
    let request = Request {
        headers: sent
            .map(|(name, value)| (name.to_owned(), value.to_owned()))
            .to_vec(),
        ..Request::new("GET", "/a?b=c")
    };
    let endpoint = endpoint(server.address);
    let response = endpoint.send(request, LONG_DEADLINE_MS).await.unwrap();
    let kept = [("content-length", "0"), ("x-kept", "2")];
    let kept = kept.map(|(name, value)| (name.to_owned(), value.to_owned()));
    assert_eq!(response.head.headers, kept);
    let head = server.requests.recv().await.unwrap();
    let host = format!("host: {}\r\n", server.address);
    assert!(head.starts_with("GET /a?b=c HTTP/1.1\r\n"), "{head}");
    assert!(head.contains(&host), "{head}");
    assert!(head.contains("x-request-tag: t1\r\n"), "{head}");
    for gone in ["elsewhere", "chunked", "content-length", "websocket"] {
        assert!(!head.contains(gone), "{head}");
    }
}
