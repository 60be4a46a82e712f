//! A server that reads requests and writes the bytes that it is told to.

#![allow(clippy::unwrap_used)] // The exemption of clippy.toml ends at helpers of tests.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

/// What the server does after it has written its bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Then {
    /// Closes the connection.
    Close,
    /// Says nothing more and keeps it open.
    Hold,
    /// Answers the next request on it with the same bytes.
    Serve,
}

/// A running server.
pub struct Raw {
    pub address: SocketAddr,
    pub connections: Arc<AtomicUsize>,
    /// Heads of the requests as they came.
    pub requests: mpsc::UnboundedReceiver<String>,
}

impl Raw {
    /// Starts a server whose connections answer by `answers`, one each; the last one
    /// also stands for all later connections.
    pub async fn start(answers: Vec<(&'static str, Then)>) -> Raw {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let connections = Arc::new(AtomicUsize::new(0));
        let (seen, requests) = mpsc::unbounded_channel();
        let count = connections.clone();
        tokio::spawn(async move {
            loop {
                let (stream, _) = listener.accept().await.unwrap();
                let number = count.fetch_add(1, Ordering::SeqCst);
                let (bytes, then) = answers[number.min(answers.len() - 1)];
                tokio::spawn(converse(stream, bytes, then, seen.clone()));
            }
        });
        Raw {
            address,
            connections,
            requests,
        }
    }

    /// Connections made so far.
    pub fn connections(&self) -> usize {
        self.connections.load(Ordering::SeqCst)
    }
}

async fn converse(
    mut stream: TcpStream,
    bytes: &'static str,
    then: Then,
    seen: mpsc::UnboundedSender<String>,
) {
    while let Some(head) = request_head(&mut stream).await {
        let _ = seen.send(head);
        stream.write_all(bytes.as_bytes()).await.unwrap();
        match then {
            Then::Close => return,
            Then::Hold => std::future::pending().await,
            Then::Serve => {}
        }
    }
}

/// Reads up to the blank line; the requests of these tests have no longer body.
async fn request_head(stream: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.ok()?);
    }
    Some(String::from_utf8(head).unwrap())
}
