//! One established connection: a task that reads and writes frames, and the queue to it.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

use bytes::{Buf, BytesMut};
use protocol::{Frame, FrameReader, FrameWriter, Hello, check_end};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

use crate::clock::Clock;
use crate::write_progress::WriteProgress;
use crate::{Counters, LinkError};

/// Frames that may wait to be written to one connection. The calls and their windows already
/// bound the queue, so it reaches this length only if nothing is written any more.
const QUEUE_FRAMES_MAX: usize = 65_536;
/// Queued frames are written in one batch of about this size.
const BATCH_BYTES: usize = 64 * 1024;
/// Buffer space reserved for one read.
const READ_BYTES: usize = 32 * 1024;

/// A frame in the queue to the writer.
pub(crate) struct QueuedFrame {
    pub frame: Frame,
    /// `None` if nobody needs to know whether the frame was written.
    pub progress: Option<WriteProgress>,
}

/// A frame that was read from the socket.
#[derive(Debug)]
pub(crate) struct ReceivedFrame {
    pub frame: Frame,
    /// When the bytes of the frame were read.
    pub at_ms: u64,
}

/// A socket after its handshake.
pub(crate) struct EstablishedConnection {
    pub stream: TcpStream,
    pub peer: Hello,
    pub reader: FrameReader,
    pub writer: FrameWriter,
    /// Bytes that were read after the peer's `Hello`, if any: the start of its next frames.
    pub unread: BytesMut,
}

/// A running connection. Dropping it closes the socket at once; see
/// [`Connection::close_after_flush`].
#[derive(Debug)]
pub(crate) struct Connection {
    pub peer: Hello,
    queue: mpsc::Sender<QueuedFrame>,
    last_received_ms: Arc<AtomicU64>,
    task: Option<JoinHandle<()>>,
}

/// The queue to the writer is full: the connection does not send any more.
#[derive(Debug)]
pub(crate) struct QueueFull;

impl Connection {
    /// Starts the task. Every received frame is converted by `wrap` and sent to `frames`. When
    /// the connection ends by itself, `closed` receives the reason and may return a last item
    /// for `frames`.
    pub fn start<T: Send + 'static>(
        established: EstablishedConnection,
        clock: Clock,
        counters: Counters,
        frames: mpsc::Sender<T>,
        wrap: impl Fn(ReceivedFrame) -> T + Send + 'static,
        closed: impl FnOnce(LinkError) -> Option<T> + Send + 'static,
    ) -> Self {
        let EstablishedConnection {
            stream,
            peer,
            reader,
            writer,
            unread,
        } = established;
        let (queue, outbound) = mpsc::channel(QUEUE_FRAMES_MAX);
        let last_received_ms = Arc::new(AtomicU64::new(clock.now_ms()));
        let last_received = last_received_ms.clone();
        let (source, sink) = stream.into_split();
        let task = tokio::spawn(async move {
            let incoming = FrameSource {
                source,
                reader,
                buffer: unread,
                clock,
                last_received,
            };
            let read = incoming.run(counters.clone(), &frames, wrap);
            let write = write_frames(sink, outbound, writer, counters);
            let reason = tokio::select! {
                reason = read => reason,
                reason = write => reason,
            };
            if let Some(last) = closed(reason) {
                let _ = frames.send(last).await;
            }
        });
        Self {
            peer,
            queue,
            last_received_ms,
            task: Some(task),
        }
    }

    /// Queues a frame without waiting.
    pub fn send(&self, frame: Frame) -> Result<(), QueueFull> {
        self.enqueue(QueuedFrame {
            frame,
            progress: None,
        })
    }

    /// Queues a frame without waiting and returns its progress.
    pub fn send_tracked(&self, frame: Frame) -> Result<WriteProgress, QueueFull> {
        let progress = WriteProgress::default();
        self.enqueue(QueuedFrame {
            frame,
            progress: Some(progress.clone()),
        })?;
        Ok(progress)
    }

    /// When the last byte was received from the peer.
    pub fn last_received_ms(&self) -> u64 {
        self.last_received_ms.load(Relaxed)
    }

    /// Closes the socket at once. Afterwards nothing more is written and the progress of every
    /// frame is final.
    pub async fn abort(mut self) {
        if let Some(task) = self.task.take() {
            task.abort();
            let _ = task.await;
        }
    }

    /// Closes the connection after all queued frames have been written.
    pub fn close_after_flush(mut self) {
        self.task.take();
    }

    fn enqueue(&self, outbound: QueuedFrame) -> Result<(), QueueFull> {
        match self.queue.try_send(outbound) {
            Err(mpsc::error::TrySendError::Full(_)) => Err(QueueFull),
            // The task has ended and has reported that through `frames`.
            Ok(()) | Err(mpsc::error::TrySendError::Closed(_)) => Ok(()),
        }
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        if let Some(task) = self.task.take() {
            task.abort();
        }
    }
}

struct FrameSource {
    source: OwnedReadHalf,
    reader: FrameReader,
    buffer: BytesMut,
    clock: Clock,
    last_received: Arc<AtomicU64>,
}

impl FrameSource {
    async fn run<T>(
        mut self,
        counters: Counters,
        frames: &mpsc::Sender<T>,
        wrap: impl Fn(ReceivedFrame) -> T,
    ) -> LinkError {
        loop {
            let at_ms = self.clock.now_ms();
            loop {
                let before_bytes = self.buffer.len();
                let frame = match self.reader.read(&mut self.buffer) {
                    Ok(Some(frame)) => frame,
                    Ok(None) => break,
                    Err(error) => return error.into(),
                };
                counters.record_received(frame.carries_call(), before_bytes - self.buffer.len());
                if frames
                    .send(wrap(ReceivedFrame { frame, at_ms }))
                    .await
                    .is_err()
                {
                    return LinkError::ClosedLocally;
                }
            }
            if let Err(error) = self.fill().await {
                return error;
            }
        }
    }

    async fn fill(&mut self) -> Result<(), LinkError> {
        self.buffer.reserve(READ_BYTES);
        let read_bytes = self.source.read_buf(&mut self.buffer).await?;
        if read_bytes == 0 {
            check_end(&self.buffer)?;
            return Err(LinkError::ClosedByPeer);
        }
        self.last_received.store(self.clock.now_ms(), Relaxed);
        Ok(())
    }
}

async fn write_frames(
    mut sink: OwnedWriteHalf,
    mut outbound: mpsc::Receiver<QueuedFrame>,
    mut writer: FrameWriter,
    counters: Counters,
) -> LinkError {
    let mut batch = Batch::default();
    while let Some(first) = outbound.recv().await {
        let mut next = Some(first);
        while let Some(item) = next {
            if let Err(error) = batch.add(item, &mut writer, &counters) {
                return error;
            }
            next = if batch.is_full() {
                None
            } else {
                outbound.try_recv().ok()
            };
        }
        if let Err(error) = batch.write(&mut sink).await {
            return error;
        }
    }
    let _ = sink.shutdown().await;
    LinkError::ClosedLocally
}

/// Frames that are written with one buffer.
#[derive(Default)]
struct Batch {
    buffer: BytesMut,
    /// Progress of tracked frames, each with the offset in the batch at which its frame ends.
    tracked: VecDeque<(usize, WriteProgress)>,
}

impl Batch {
    fn is_full(&self) -> bool {
        self.buffer.len() >= BATCH_BYTES
    }

    fn add(
        &mut self,
        item: QueuedFrame,
        writer: &mut FrameWriter,
        counters: &Counters,
    ) -> Result<(), LinkError> {
        if item
            .progress
            .as_ref()
            .is_some_and(|progress| !progress.try_begin())
        {
            return Ok(());
        }
        let before_bytes = self.buffer.len();
        writer.write(&item.frame, &mut self.buffer)?;
        counters.record_sent(item.frame.carries_call(), self.buffer.len() - before_bytes);
        if let Some(progress) = item.progress {
            self.tracked.push_back((self.buffer.len(), progress));
        }
        Ok(())
    }

    async fn write(&mut self, sink: &mut OwnedWriteHalf) -> Result<(), LinkError> {
        let mut written_bytes = 0;
        while self.buffer.has_remaining() {
            written_bytes += sink.write_buf(&mut self.buffer).await?;
            while let Some((_, progress)) = self
                .tracked
                .pop_front_if(|(end_bytes, _)| *end_bytes <= written_bytes)
            {
                progress.mark_written();
            }
        }
        Ok(())
    }
}
