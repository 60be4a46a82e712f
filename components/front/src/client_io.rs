//! Connection of a client that is cut off when it takes no data, and that ends the answers whose
//! bytes have been passed to the socket.

use std::future::Future;
use std::io::{Error, ErrorKind, IoSlice, Result};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Sleep;

use crate::answers::BufferedAnswers;

/// How long a client may take no data while some waits for it, in milliseconds. Longer than the
/// few seconds for which a client's machine may be frozen.
const STALL_MS_MAX: u64 = 10_000;

/// A client's connection whose writes fail once the client has taken no data for too long.
pub struct ClientIo {
    stream: TcpStream,
    /// Runs while a write waits for the client.
    stalled: Option<Pin<Box<Sleep>>>,
    buffered: Arc<BufferedAnswers>,
}

impl ClientIo {
    /// Wraps an accepted connection.
    pub fn new(stream: TcpStream, buffered: Arc<BufferedAnswers>) -> Self {
        Self {
            stream,
            stalled: None,
            buffered,
        }
    }

    /// Passes on the result of a write, or fails if the client has stalled.
    fn check_stall<T>(
        &mut self,
        cx: &mut Context<'_>,
        written: Poll<Result<T>>,
    ) -> Poll<Result<T>> {
        if written.is_ready() {
            self.stalled = None;
            return written;
        }
        let limit = Duration::from_millis(STALL_MS_MAX);
        let stalled = self
            .stalled
            .get_or_insert_with(|| Box::pin(tokio::time::sleep(limit)));
        stalled.as_mut().poll(cx).map(|()| {
            Err(Error::new(
                ErrorKind::TimedOut,
                format!("the client took no data for {STALL_MS_MAX} ms"),
            ))
        })
    }
}

impl AsyncRead for ClientIo {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buffer)
    }
}

impl AsyncWrite for ClientIo {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        data: &[u8],
    ) -> Poll<Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, data);
        self.check_stall(cx, written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        data: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, data);
        self.check_stall(cx, written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        let flushed = Pin::new(&mut self.stream).poll_flush(cx);
        // hyper flushes the connection only once its own buffer is empty.
        if let Poll::Ready(Ok(())) = flushed {
            self.buffered.end();
        }
        flushed
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
