//! A TCP server that reads requests and answers with fixed bytes.

#![allow(clippy::unwrap_used)] // The exemption of clippy.toml ends at helpers of tests.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

/// What the server does after it has written its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AfterAnswer {
    /// Closes the connection.
    Close,
    /// Keeps the connection open and sends nothing more.
    Hold,
    /// Answers the next request on the connection with the same bytes.
    Serve,
}

/// A running server.
pub struct RawServer {
    pub address: SocketAddr,
    pub connections: Arc<AtomicUsize>,
    /// Heads of the received requests.
    pub requests: mpsc::UnboundedReceiver<String>,
}

impl RawServer {
    /// Starts a server. The connection with number `n` answers with `answers[n]`; the last entry
    /// also applies to all later connections.
    pub async fn start(answers: Vec<(&'static str, AfterAnswer)>) -> RawServer {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let connections = Arc::new(AtomicUsize::new(0));
        let (request_sender, requests) = mpsc::unbounded_channel();
        let count = connections.clone();
        tokio::spawn(async move {
            loop {
                let (stream, _) = listener.accept().await.unwrap();
                let number = count.fetch_add(1, Ordering::SeqCst);
                let (bytes, then) = answers[number.min(answers.len() - 1)];
                tokio::spawn(serve_connection(
                    stream,
                    bytes,
                    then,
                    request_sender.clone(),
                ));
            }
        });
        RawServer {
            address,
            connections,
            requests,
        }
    }

    /// Number of connections accepted so far.
    pub fn connections(&self) -> usize {
        self.connections.load(Ordering::SeqCst)
    }
}

async fn serve_connection(
    mut stream: TcpStream,
    bytes: &'static str,
    then: AfterAnswer,
    request_sender: mpsc::UnboundedSender<String>,
) {
    while let Some(head) = request_head(&mut stream).await {
        let _ = request_sender.send(head);
        stream.write_all(bytes.as_bytes()).await.unwrap();
        match then {
            AfterAnswer::Close => return,
            AfterAnswer::Hold => std::future::pending().await,
            AfterAnswer::Serve => {}
        }
    }
}

/// Reads up to the blank line; the requests of these tests have no body.
async fn request_head(stream: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.ok()?);
    }
    Some(String::from_utf8(head).unwrap())
}
