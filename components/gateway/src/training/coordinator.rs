//! Handle to the coordinator of the steps at this entry: the task that owns their ledgers.

use std::net::SocketAddr;

use samples::{CopyMessage, StepKey};
use tokio::sync::{mpsc, oneshot};
use types::{Cause, Failure, WeightVersion};
use weights::ModelKey;

use super::StepStatus;
use super::commands::{Command, Fetch, Post, Reply};
use crate::rejection::Rejection;

/// Orders that wait at most. Whoever puts one in waits for a place.
const QUEUED_COMMANDS_MAX: usize = 4_096;

/// Where the owner reads its orders.
pub struct CoordinatorInbox {
    pub(super) commands: mpsc::Receiver<Command>,
    pub(super) sender: mpsc::WeakSender<Command>,
}

/// Handle to the owner of the ledgers; clones share it.
#[derive(Clone)]
pub struct Coordinator {
    commands: mpsc::Sender<Command>,
}

impl Coordinator {
    /// A handle, and the inbox for [`super::spawn_coordinator`].
    pub fn new() -> (Coordinator, CoordinatorInbox) {
        let (sender, commands) = mpsc::channel(QUEUED_COMMANDS_MAX);
        let inbox = CoordinatorInbox {
            commands,
            sender: sender.downgrade(),
        };
        (Coordinator { commands: sender }, inbox)
    }

    /// Posts a step; gives the cursor to fetch with.
    pub(super) async fn post(&self, post: Post) -> Result<String, Rejection> {
        let (answer, answered) = oneshot::channel();
        self.send(Command::Post(Box::new(post), answer)).await?;
        answered.await.map_err(|_| internal())?
    }

    /// Fetches samples.
    pub(super) async fn fetch(&self, fetch: Fetch) -> Result<Reply, Rejection> {
        let (answer, answered) = oneshot::channel();
        self.send(Command::Fetch(fetch, answer)).await?;
        answered.await.map_err(|_| internal())?
    }

    /// Takes what the other home sends.
    pub(super) async fn receive_copies(&self, copies: Vec<CopyMessage>) -> Result<(), Rejection> {
        self.send(Command::ApplyCopies(copies)).await
    }

    /// Another home has taken a step's post, or the copy was lost.
    pub(super) async fn report_copy_result(&self, key: StepKey, to: SocketAddr, delivered: bool) {
        // The owner is gone only when the process ends.
        let _ = self.send(Command::CopyResult { key, to, delivered }).await;
    }

    /// A version came in force.
    pub async fn announce(&self, model: ModelKey, version: WeightVersion) {
        // The owner is gone only when the process ends.
        let _ = self.send(Command::Announce(model, version)).await;
    }

    /// State of every step that is held here.
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
