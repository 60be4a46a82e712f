//! Answers of replicas whose end is no sign that they are complete.

use std::net::SocketAddr;

use bytes::Bytes;
use standins::fleet::records;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

use crate::common::Site;
use crate::raw_replicas::{path_number, read_request, request_id, site_with_writer, stream_body};

const EVENT: &str = "id: 1\ndata: word\n\n";

/// How a replica frames the body of its answer.
#[derive(Clone, Copy, PartialEq)]
enum Framing {
    /// The body ends with the connection.
    Connection,
    /// One chunk, and the last one.
    Chunks,
    /// The head states the length.
    Length,
}

/// The bytes of a successful answer to the request with this id.
fn answer(id: &str, framing: Framing, body: &str) -> String {
    let framing_header = match framing {
        Framing::Connection => "connection: close".to_owned(),
        Framing::Chunks => "transfer-encoding: chunked".to_owned(),
        Framing::Length => format!("content-length: {}", body.len()),
    };
    let body = match framing {
        Framing::Chunks => format!("{:x}\r\n{body}\r\n0\r\n\r\n", body.len()),
        Framing::Connection | Framing::Length => body.to_owned(),
    };
    format!(
        "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nhornbeamrock-request-id: {id}\r\n\
         hornbeamrock-server-stamp: s\r\nhornbeamrock-weight-versions: 1\r\n\
         {framing_header}\r\n\r\n{body}"
    )
}

/// Starts a replica that answers each request with the body of this number and closes the
/// connection.
async fn start_writer(framing: Framing, bodies: Vec<&'static str>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("bound");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            if let Some(head) = read_request(&mut stream).await {
                let body = bodies[path_number(&head)];
                let answer = answer(request_id(&head), framing, body);
                let _ = stream.write_all(answer.as_bytes()).await;
            }
        }
    });
    address
}

/// Starts a replica that answers the first request with this body, without a length, and crashes.
async fn start_crashing_writer(body: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("bound");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            if let Some(head) = read_request(&mut stream).await {
                let answer = answer(request_id(&head), Framing::Connection, body);
                let _ = stream.write_all(answer.as_bytes()).await;
                // A process that ends closes its listener, the lower descriptor, first.
                drop(listener);
                return;
            }
        }
    });
    address
}

// Guards against streams that end as complete although their replica ended within an event.
#[tokio::test(crate = "crate::cores")]
async fn breaks_a_stream_that_ends_within_an_event() {
    struct Case {
        name: &'static str,
        body: &'static str,
        is_complete: bool,
    }
    let cases = [
        Case {
            name: "after an event",
            body: EVENT,
            is_complete: true,
        },
        Case {
            name: "after an event with carriage returns",
            body: "id: 1\r\ndata: word\r\n\r\n",
            is_complete: true,
        },
        Case {
            name: "after a comment",
            body: "id: 1\ndata: word\n\n: the end\n",
            is_complete: true,
        },
        Case {
            name: "within the data",
            body: "id: 1\ndata: word\n\nid: 2\ndata: wo",
            is_complete: false,
        },
        Case {
            name: "after the id",
            body: "id: 1\ndata: word\n\nid: 2\n",
            is_complete: false,
        },
        Case {
            name: "before the blank line",
            body: "id: 1\ndata: word\n",
            is_complete: false,
        },
        Case {
            name: "after the version of an event",
            body: "id: 1\ndata: word\n\nhornbeamrock-weight-versions: 2\n",
            is_complete: false,
        },
    ];
    for framing in [Framing::Connection, Framing::Chunks, Framing::Length] {
        let address = start_writer(framing, cases.iter().map(|case| case.body).collect()).await;
        let site = site_with_writer("stream", address).await;
        let front = site.front("a").await;
        for (number, case) in cases.iter().enumerate() {
            let body = stream_body(&front, &format!("/calls/{number}")).await;
            let expected = case
                .is_complete
                .then_some(Bytes::from_static(case.body.as_bytes()));
            assert_eq!(body, expected, "{}", case.name);
        }
    }
}

// Guards against streams and calls that end as complete although the end of their replica's process
// was the end of the body.
#[tokio::test(crate = "crate::cores")]
async fn breaks_an_answer_without_a_length_when_its_replica_crashes() {
    for kind in ["stream", "safe", "unsafe"] {
        for body in ["", EVENT] {
            let address = start_crashing_writer(body).await;
            let site = site_with_writer(kind, address).await;
            let front = site.front("a").await;
            match kind {
                "stream" => assert_eq!(stream_body(&front, "/calls/0").await, None, "{body}"),
                _ => assert_eq!(front.call("q-1", "/calls/0").await.0, 502, "{kind} {body}"),
            }
        }
    }
}

// Guards against items that are listed with a part of their text, as the crash of their replica ended
// a stream without a length between two events.
#[tokio::test(crate = "crate::cores")]
async fn resumes_an_item_whose_stream_without_a_length_ended_with_its_replica() {
    let site = Site::start(3, 30).await;
    for number in 0..3 {
        let address = start_crashing_writer("id: 1\ndata: word-1\n\n").await;
        let record = records::replica(records::ENGINES, address, "ready", 1);
        let id = format!("writer-{number}");
        site.store.put("keyed.servers", &id, Some(&record));
    }
    let front = site.front("a").await;
    front.submit("step-1", &records::step(1, 1, 10)).await;
    for result in front.all_results("step-1", 10).await {
        assert_eq!(result["Text"], "word-1\nword-2\nword-3", "{result}");
    }
    let resumed = (0..10).filter(|item| site.runs(&format!("item-1-{item}")).contains(&1));
    assert!(resumed.count() > 0, "no item ran at a replica that crashed");
}
