//! Socket of a caller that reports an error when the caller stops reading.
//!
//! Without this timeout a caller that never reads would occupy a connection, a descriptor and
//! buffers forever, because the request itself has already ended. A draining process would also
//! wait for such a caller.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Sleep, sleep};

/// State of a caller's socket that the connection task can read and change. Clones share it.
#[derive(Clone, Debug, Default)]
pub struct SocketState(Arc<Flags>);

#[derive(Debug, Default)]
struct Flags {
    reset: AtomicBool,
    blocked: AtomicBool,
}

impl SocketState {
    /// Makes the connection end with a TCP reset. For a caller that reads until the connection
    /// closes, only a reset distinguishes an interrupted answer from a complete one.
    pub fn reset(&self) {
        self.0.reset.store(true, Ordering::Relaxed);
    }

    /// Returns whether a write is waiting for the caller to read earlier bytes.
    pub fn is_blocked(&self) -> bool {
        self.0.blocked.load(Ordering::Relaxed)
    }
}

/// TCP stream of a caller with a timeout for blocked writes.
pub struct CallerStream {
    stream: TcpStream,
    stall_timeout: Duration,
    /// Timer that runs while a write is blocked.
    stall_timer: Option<Pin<Box<Sleep>>>,
    socket: SocketState,
}

impl CallerStream {
    /// Wraps a socket. Writes fail when no byte is accepted for `stall_timeout`.
    pub fn new(stream: TcpStream, stall_timeout: Duration, socket: SocketState) -> Self {
        Self {
            stream,
            stall_timeout,
            stall_timer: None,
            socket,
        }
    }

    fn check_stall<T>(
        &mut self,
        cx: &mut Context<'_>,
        written: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        let blocked = &self.socket.0.blocked;
        blocked.store(written.is_pending(), Ordering::Relaxed);
        if written.is_ready() {
            self.stall_timer = None;
            return written;
        }
        let stall_timeout = self.stall_timeout;
        let stall_timer = self
            .stall_timer
            .get_or_insert_with(|| Box::pin(sleep(stall_timeout)));
        ready!(stall_timer.as_mut().poll(cx));
        self.socket.reset();
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let own = self.get_mut();
        let written = Pin::new(&mut own.stream).poll_write(cx, buf);
        own.check_stall(cx, written)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let own = self.get_mut();
        let written = Pin::new(&mut own.stream).poll_write_vectored(cx, bufs);
        own.check_stall(cx, written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(cx)
    }
}

impl Drop for CallerStream {
    fn drop(&mut self) {
        if self.socket.0.reset.load(Ordering::Relaxed) {
            // If this fails, the connection is closed without a reset.
            let _ = self.stream.set_zero_linger();
        }
    }
}
