//! Writes the records of one shard to the log, several records per append.

use std::time::Duration;

use adapters::LogClient;
use claims::{Batch, ClaimSettings, Record, stream_name};
use node::now_ms;
use protocol::Open;
use tokio::sync::{mpsc, oneshot};
use types::{Cause, Failure};

/// Path of the inner call that sends a record, followed by the number of the shard.
pub const CLAIMS_PATH: &str = "/claims/";
const QUEUED_COMMANDS_MAX: usize = 1_024;
/// Delay after a failed append.
const RETRY_DELAY_MS: u64 = 300;
/// Sleep while no records wait for an append.
const IDLE_SLEEP_MS: u64 = 60_000;

/// Reports whether the record was appended. An error means that the log refused the append, so that
/// another writer may be tried.
pub type WriteAnswer = oneshot::Sender<Result<(), Failure>>;

/// A record to append.
pub struct WriteCommand {
    pub record: Record,
    pub answer: WriteAnswer,
}

/// Whether an inner call sends a record.
pub fn is_inner_call(open: &Open) -> bool {
    open.path.starts_with(CLAIMS_PATH)
}

/// Starts the writer of a shard.
pub fn start(shard: u16, log: LogClient, settings: ClaimSettings) -> mpsc::Sender<WriteCommand> {
    let (commands, inbox) = mpsc::channel(QUEUED_COMMANDS_MAX);
    let writer = Writer {
        stream: stream_name(shard),
        log,
        batch: Batch::new(settings),
        settings,
        pending_answers: Vec::new(),
        retry_at_ms: 0,
    };
    tokio::spawn(writer.run(inbox));
    commands
}

struct Writer {
    stream: String,
    log: LogClient,
    batch: Batch,
    settings: ClaimSettings,
    pending_answers: Vec<WriteAnswer>,
    retry_at_ms: u64,
}

impl Writer {
    async fn run(mut self, mut inbox: mpsc::Receiver<WriteCommand>) {
        loop {
            let due_ms = self.batch.next_flush_ms();
            let due_ms = due_ms.map(|due_ms| due_ms.max(self.retry_at_ms));
            let wait_ms = due_ms.map_or(IDLE_SLEEP_MS, |due_ms| due_ms.saturating_sub(now_ms()));
            tokio::select! {
                command = inbox.recv() => match command {
                    Some(command) => self.push(command),
                    None => return,
                },
                () = tokio::time::sleep(Duration::from_millis(wait_ms)) => {}
            }
            while let Ok(command) = inbox.try_recv() {
                self.push(command);
            }
            if now_ms() >= self.retry_at_ms {
                self.flush().await;
            }
        }
    }

    fn push(&mut self, command: WriteCommand) {
        match self.batch.push(command.record, now_ms()) {
            Ok(()) => self.pending_answers.push(command.answer),
            Err(_) => refuse(command.answer),
        }
    }

    async fn flush(&mut self) {
        let line = match self.batch.flush(now_ms()) {
            Ok(Some(line)) => line,
            Ok(None) => return,
            Err(reason) => {
                log::error!(event = "claims-unwritable", reason:% = reason; "");
                self.batch = Batch::new(self.settings);
                return self.refuse_all();
            }
        };
        match self.log.append(&self.stream, &line).await {
            Ok(_) => {
                self.batch.confirm_append();
                for answer in self.pending_answers.drain(..) {
                    // The submission may already have its verdict.
                    let _ = answer.send(Ok(()));
                }
            }
            // The append may have taken effect; in that case the reader will find the records. The
            // answers stay pending, and the same records are appended again.
            Err(reason) if reason.may_have_taken_effect() => self.schedule_retry(),
            Err(_) => {
                self.schedule_retry();
                self.refuse_all();
            }
        }
    }

    fn schedule_retry(&mut self) {
        self.batch.retry_append();
        self.retry_at_ms = now_ms() + RETRY_DELAY_MS;
    }

    fn refuse_all(&mut self) {
        self.pending_answers.drain(..).for_each(refuse);
    }
}

fn refuse(answer: WriteAnswer) {
    let _ = answer.send(Err(Failure::not_run(Cause::ClaimUnavailable)));
}
