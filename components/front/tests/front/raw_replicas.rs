//! Replicas whose answers are given byte for byte, and the sites and calls of their tests.

use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request};
use platform::{collect, connect};
use serde_json::{Value, json};
use standins::fleet::records;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::common::{FrontHandle, Site, TEST_TIMEOUT};

/// Service of the replica that answers with given bytes.
pub const WRITERS: &str = "writers";

/// Reads the head of a request; `None` at the end of the connection. Its body is short enough to
/// arrive with the head.
pub async fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut bytes = vec![0; 4_096];
    let read = stream
        .read(&mut bytes)
        .await
        .ok()
        .filter(|read| *read > 0)?;
    Some(String::from_utf8_lossy(&bytes[..read]).into_owned())
}

/// Number at the end of a request's path.
pub fn path_number(head: &str) -> usize {
    let path = head.split(' ').nth(1).unwrap_or_default();
    let number = path.rsplit('/').next().unwrap_or_default();
    number.parse().unwrap_or_default()
}

/// Id of a request.
pub fn request_id(head: &str) -> &str {
    let mut lines = head.lines();
    lines
        .find_map(|line| line.strip_prefix("hornbeamrock-request-id: "))
        .unwrap_or_default()
}

/// A site whose calls go to the replica at this address.
pub async fn site_with_writer(kind: &str, address: SocketAddr) -> Site {
    let site = Site::start(3, 1).await;
    let mut config: Value = serde_json::from_str(&records::config(4)).expect("a configuration");
    config["Routes"][0]["Kind"] = kind.into();
    config["Routes"][0]["Service"] = WRITERS.into();
    let services = config["Services"].as_array_mut().expect("services");
    services.push(json!({ "Name": WRITERS, "HealthPath": "/health", "MaxConns": 100 }));
    let config = config.to_string();
    site.store.put("keyed.op", "config", Some(&config));
    let record = records::replica(WRITERS, address, "ready", 1);
    site.store.put("keyed.servers", "writer-1", Some(&record));
    site
}

/// The complete body of a stream; `None` if it broke.
pub async fn stream_body(front: &FrontHandle, path: &str) -> Option<Bytes> {
    let mut connection = connect(front.client_address, TEST_TIMEOUT)
        .await
        .expect("a connection");
    let request = Request::builder()
        .method(Method::POST)
        .uri(path)
        .header("host", records::HOST)
        .header("hornbeamrock-request-id", "s-1")
        .header("hornbeamrock-deadline-ms", "2000")
        .body(Full::new(Bytes::new()))
        .expect("a request");
    let answer = connection.send(request, TEST_TIMEOUT).await;
    collect(answer.expect("an answer").into_body(), 1 << 20)
        .await
        .ok()
}

/// Sends a request on a connection of its own and reads all bytes of the answer.
pub async fn exchange(front: SocketAddr, id: &str, path: &str) -> String {
    let mut stream = TcpStream::connect(front).await.expect("a connection");
    let request = format!(
        "POST {path} HTTP/1.1\r\nhost: {}\r\nhornbeamrock-request-id: {id}\r\n\
         hornbeamrock-deadline-ms: 2000\r\nconnection: close\r\ncontent-length: 0\r\n\r\n",
        records::HOST
    );
    stream.write_all(request.as_bytes()).await.expect("written");
    let mut answer = Vec::new();
    // A broken connection ends the answer, too.
    let _ = stream.read_to_end(&mut answer).await;
    String::from_utf8_lossy(&answer).into_owned()
}
