//! Handle to the coordinator, the task that owns the ledgers of the steps held by this entry.

use std::net::SocketAddr;

use samples::{CopyMessage, StepKey};
use tokio::sync::{mpsc, oneshot};
use types::{Cause, Failure, WeightVersion};
use weights::ModelKey;

use super::StepStatus;
use super::commands::{Command, Fetch, Post, Reply};
use crate::rejection::Rejection;

/// When the queue is full, senders wait until there is space.
const QUEUED_COMMANDS_MAX: usize = 4_096;

/// Receiving end of the coordinator's queue, and a sender for the tasks that it starts.
pub struct CoordinatorInbox {
    pub(super) commands: mpsc::Receiver<Command>,
    pub(super) sender: mpsc::WeakSender<Command>,
}

/// Handle to the coordinator's task; clones send to the same queue.
#[derive(Clone)]
pub struct Coordinator {
    commands: mpsc::Sender<Command>,
}

impl Coordinator {
    /// Creates a handle, and the inbox for [`super::spawn_coordinator`].
    pub fn new() -> (Coordinator, CoordinatorInbox) {
        let (sender, commands) = mpsc::channel(QUEUED_COMMANDS_MAX);
        let inbox = CoordinatorInbox {
            commands,
            sender: sender.downgrade(),
        };
        (Coordinator { commands: sender }, inbox)
    }

    /// Posts a step. Returns the cursor for the first fetch.
    pub(super) async fn post(&self, post: Post) -> Result<String, Rejection> {
        let (answer, answered) = oneshot::channel();
        self.send(Command::Post(Box::new(post), answer)).await?;
        answered.await.map_err(|_| internal())?
    }

    /// Fetches samples; waits for the first one up to the fetch's limit.
    pub(super) async fn fetch(&self, fetch: Fetch) -> Result<Reply, Rejection> {
        let (answer, answered) = oneshot::channel();
        self.send(Command::Fetch(fetch, answer)).await?;
        answered.await.map_err(|_| internal())?
    }

    /// Queues copies received from the step's other home.
    pub(super) async fn receive_copies(&self, copies: Vec<CopyMessage>) -> Result<(), Rejection> {
        self.send(Command::ApplyCopies(copies)).await
    }

    /// Reports whether a copy of a step's post has reached another home.
    pub(super) async fn report_copy_result(&self, key: StepKey, to: SocketAddr, delivered: bool) {
        // The coordinator stops only when the process ends.
        let _ = self.send(Command::CopyResult { key, to, delivered }).await;
    }

    /// Reports that a version has become active.
    pub async fn announce(&self, model: ModelKey, version: WeightVersion) {
        // The coordinator stops only when the process ends.
        let _ = self.send(Command::Announce(model, version)).await;
    }

    /// State of every step held by this entry; empty if the coordinator has stopped.
    pub async fn status(&self) -> Vec<StepStatus> {
        let (answer, answered) = oneshot::channel();
        match self.send(Command::Status(answer)).await {
            Ok(()) => answered.await.unwrap_or_default(),
            Err(_) => Vec::new(),
        }
    }

    async fn send(&self, command: Command) -> Result<(), Rejection> {
        self.commands.send(command).await.map_err(|_| internal())
    }
}

fn internal() -> Rejection {
    Rejection::Call(Failure::not_run(Cause::Internal))
}
