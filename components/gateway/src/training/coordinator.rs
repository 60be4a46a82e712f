//! Handle to the coordinator of the steps at this entry: the task that owns their ledgers.

use std::net::SocketAddr;

use samples::{CopyMessage, StepKey};
use tokio::sync::{mpsc, oneshot};
use types::{Cause, Failure, WeightVersion};
use weights::ModelKey;

use super::StepStatus;
use super::orders::{Fetch, Order, Post, Reply};
use crate::rejection::Rejection;

/// Orders that wait at most. Whoever puts one in waits for a place.
const ORDERS_MAX: usize = 4_096;

/// Where the owner reads its orders.
pub struct CoordinatorInbox {
    pub(super) orders: mpsc::Receiver<Order>,
    pub(super) sender: mpsc::WeakSender<Order>,
}

/// Handle to the owner of the ledgers; clones share it.
#[derive(Clone)]
pub struct Coordinator {
    orders: mpsc::Sender<Order>,
}

impl Coordinator {
    /// A handle, and the inbox for [`super::spawn_coordinator`].
    pub fn new() -> (Coordinator, CoordinatorInbox) {
        let (sender, orders) = mpsc::channel(ORDERS_MAX);
        let inbox = CoordinatorInbox {
            orders,
            sender: sender.downgrade(),
        };
        (Coordinator { orders: sender }, inbox)
    }

    /// Posts a step; gives the cursor to fetch with.
    pub(super) async fn post(&self, post: Post) -> Result<String, Rejection> {
        let (answer, answered) = oneshot::channel();
        self.order(Order::Post(Box::new(post), answer)).await?;
        answered.await.map_err(|_| internal())?
    }

    /// Fetches samples.
    pub(super) async fn fetch(&self, fetch: Fetch) -> Result<Reply, Rejection> {
        let (answer, answered) = oneshot::channel();
        self.order(Order::Fetch(fetch, answer)).await?;
        answered.await.map_err(|_| internal())?
    }

    /// Takes what the other home sends.
    pub(super) async fn copies(&self, copies: Vec<CopyMessage>) -> Result<(), Rejection> {
        self.order(Order::Copies(copies)).await
    }

    /// Another home has taken a step's post, or the copy was lost.
    pub(super) async fn told(&self, key: StepKey, to: SocketAddr, taken: bool) {
        // The owner is gone only when the process ends.
        let _ = self.order(Order::Told { key, to, taken }).await;
    }

    /// A version came in force.
    pub async fn announce(&self, model: ModelKey, version: WeightVersion) {
        // The owner is gone only when the process ends.
        let _ = self.order(Order::Announced(model, version)).await;
    }

    /// State of every step that is held here.
    pub async fn status(&self) -> Vec<StepStatus> {
        let (answer, answered) = oneshot::channel();
        match self.order(Order::Status(answer)).await {
            Ok(()) => answered.await.unwrap_or_default(),
            Err(_) => Vec::new(),
        }
    }

    async fn order(&self, order: Order) -> Result<(), Rejection> {
        self.orders.send(order).await.map_err(|_| internal())
    }
}

fn internal() -> Rejection {
    Rejection::Call(Failure::not_run(Cause::Internal))
}
