//! One greeted connection: a task that reads and writes frames, and the queue to it.

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
use crate::mark::WriteMark;
use crate::{Counters, LinkError};

/// Frames that may wait for one connection. What may wait is bounded by the calls and
/// their windows already; a queue that reaches this does not move at all.
const QUEUE_FRAMES_MAX: usize = 65_536;
/// Frames are written together up to this many bytes.
const BATCH_BYTES: usize = 64 * 1024;
/// Room for one read.
const READ_BYTES: usize = 32 * 1024;

/// A frame on its way to the writer.
pub(crate) struct Outbound {
    pub frame: Frame,
    pub mark: Option<WriteMark>,
}

/// A frame that was read.
#[derive(Debug)]
pub(crate) struct Arrived {
    pub frame: Frame,
    pub at_ms: u64,
}

/// A socket whose greetings are done.
pub(crate) struct Greeted {
    pub stream: TcpStream,
    pub peer: Hello,
    pub reader: FrameReader,
    pub writer: FrameWriter,
    /// Bytes read behind the greeting.
    pub rest: BytesMut,
}

/// A running connection. Dropped, it is cut; see [`Connection::finish`].
#[derive(Debug)]
pub(crate) struct Connection {
    pub peer: Hello,
    queue: mpsc::Sender<Outbound>,
    heard_at_ms: Arc<AtomicU64>,
    task: Option<JoinHandle<()>>,
}

/// The queue to the writer does not move.
#[derive(Debug)]
pub(crate) struct Stuck;

impl Connection {
    /// Starts the task. Every frame goes through `wrap` into `frames`; when the connection
    /// has ended by itself, `closed` gets the reason and may give a last item.
    pub fn start<T: Send + 'static>(
        greeted: Greeted,
        clock: Clock,
        counters: Counters,
        frames: mpsc::Sender<T>,
        wrap: impl Fn(Arrived) -> T + Send + 'static,
        closed: impl FnOnce(LinkError) -> Option<T> + Send + 'static,
    ) -> Self {
        let Greeted {
            stream,
            peer,
            reader,
            writer,
            rest,
        } = greeted;
        let (queue, outbound) = mpsc::channel(QUEUE_FRAMES_MAX);
        let heard_at_ms = Arc::new(AtomicU64::new(clock.now_ms()));
        let heard = heard_at_ms.clone();
        let (source, sink) = stream.into_split();
        let task = tokio::spawn(async move {
            let incoming = FrameSource {
                source,
                reader,
                buffer: rest,
                clock,
                heard,
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
            heard_at_ms,
            task: Some(task),
        }
    }

    /// Queues a frame without waiting.
    pub fn send(&self, frame: Frame) -> Result<(), Stuck> {
        self.push(Outbound { frame, mark: None })
    }

    /// Queues a frame and shows how far it comes.
    pub fn send_marked(&self, frame: Frame) -> Result<WriteMark, Stuck> {
        let mark = WriteMark::default();
        self.push(Outbound {
            frame,
            mark: Some(mark.clone()),
        })?;
        Ok(mark)
    }

    /// When the last byte came from the peer.
    pub fn heard_at_ms(&self) -> u64 {
        self.heard_at_ms.load(Relaxed)
    }

    /// Cuts the connection. Afterwards nothing more is written and all marks are final.
    pub async fn cut(mut self) {
        if let Some(task) = self.task.take() {
            task.abort();
            let _ = task.await;
        }
    }

    /// Closes the connection after what is queued has been written.
    pub fn finish(mut self) {
        self.task.take();
    }

    fn push(&self, outbound: Outbound) -> Result<(), Stuck> {
        match self.queue.try_send(outbound) {
            Err(mpsc::error::TrySendError::Full(_)) => Err(Stuck),
            // The task has ended; its owner hears of that through `frames`.
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
    heard: Arc<AtomicU64>,
}

impl FrameSource {
    async fn run<T>(
        mut self,
        counters: Counters,
        frames: &mpsc::Sender<T>,
        wrap: impl Fn(Arrived) -> T,
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
                counters.received(frame.carries_call(), before_bytes - self.buffer.len());
                if frames.send(wrap(Arrived { frame, at_ms })).await.is_err() {
                    return LinkError::Finished;
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
            return Err(LinkError::Closed);
        }
        self.heard.store(self.clock.now_ms(), Relaxed);
        Ok(())
    }
}

async fn write_frames(
    mut sink: OwnedWriteHalf,
    mut outbound: mpsc::Receiver<Outbound>,
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
    LinkError::Finished
}

/// Frames that are written together.
#[derive(Default)]
struct Batch {
    buffer: BytesMut,
    /// Marks with the number of bytes after which they are reached.
    marks: VecDeque<(usize, WriteMark)>,
}

impl Batch {
    fn is_full(&self) -> bool {
        self.buffer.len() >= BATCH_BYTES
    }

    fn add(
        &mut self,
        item: Outbound,
        writer: &mut FrameWriter,
        counters: &Counters,
    ) -> Result<(), LinkError> {
        if item.mark.as_ref().is_some_and(|mark| !mark.begin()) {
            return Ok(());
        }
        let before_bytes = self.buffer.len();
        writer.write(&item.frame, &mut self.buffer)?;
        counters.sent(item.frame.carries_call(), self.buffer.len() - before_bytes);
        if let Some(mark) = item.mark {
            self.marks.push_back((self.buffer.len(), mark));
        }
        Ok(())
    }

    async fn write(&mut self, sink: &mut OwnedWriteHalf) -> Result<(), LinkError> {
        let mut written_bytes = 0;
        while self.buffer.has_remaining() {
            written_bytes += sink.write_buf(&mut self.buffer).await?;
            while let Some((_, mark)) = self
                .marks
                .pop_front_if(|(end_bytes, _)| *end_bytes <= written_bytes)
            {
                mark.written();
            }
        }
        Ok(())
    }
}
