//! Which weight version of each model is in force, as this entry knows it. One task owns
//! the authority; everybody else reads an immutable snapshot.

use std::collections::BTreeMap;
use std::sync::Arc;

use arc_swap::ArcSwap;
use tokio::sync::{mpsc, oneshot};
use types::{Cause, CustomerName, Failure, Role, WeightVersion};
use weights::{AnnounceError, AnnounceOutcome, Announcer, Authority, ModelKey, Target};

use crate::rejection::Rejection;

/// Orders that wait at most.
const ORDERS_MAX: usize = 256;

/// What a trainer or operator wants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Want {
    /// Put the version in force.
    Announce,
    /// Have the version loaded, to be put in force soon.
    Prepare,
    /// Go back, under a raised epoch.
    RollBack,
}

/// An announcement by the holder of a token.
#[derive(Debug)]
pub struct Announced {
    /// Customer of the token.
    pub customer: CustomerName,
    /// Role of the token.
    pub role: Role,
    /// The model.
    pub model: ModelKey,
    /// What is wanted.
    pub want: Want,
    /// The version.
    pub version: WeightVersion,
}

type Answer = oneshot::Sender<Result<AnnounceOutcome, AnnounceError>>;

enum Order {
    Announce(Announced, Answer),
    Heard(ModelKey, Target),
}

type Targets = BTreeMap<ModelKey, Target>;

/// Handle to the authority; clones share one state.
#[derive(Clone)]
pub struct WeightNews {
    orders: mpsc::Sender<Order>,
    targets: Arc<ArcSwap<Targets>>,
}

impl WeightNews {
    /// Starts the owner. Every change goes into `changed`.
    pub fn start(changed: mpsc::Sender<(ModelKey, Target)>) -> WeightNews {
        let (orders, inbox) = mpsc::channel(ORDERS_MAX);
        let targets = Arc::new(ArcSwap::default());
        tokio::spawn(own(inbox, Arc::clone(&targets), changed));
        WeightNews { orders, targets }
    }

    /// Versions in force.
    pub fn targets(&self) -> Arc<Targets> {
        self.targets.load_full()
    }

    /// Takes an announcement in, or says why not.
    pub async fn announce(&self, announced: Announced) -> Result<AnnounceOutcome, Rejection> {
        let internal = || Rejection::Call(Failure::not_run(Cause::Internal));
        let (answer, answered) = oneshot::channel();
        let order = Order::Announce(announced, answer);
        self.orders.send(order).await.map_err(|_| internal())?;
        let outcome = answered.await.map_err(|_| internal())?;
        outcome.map_err(Rejection::Announcement)
    }

    /// Another process knows of these versions. A full queue loses the hint until the
    /// rumour comes again.
    pub fn heard(&self, model: ModelKey, target: Target) {
        let _ = self.orders.try_send(Order::Heard(model, target));
    }
}

async fn own(
    mut inbox: mpsc::Receiver<Order>,
    targets: Arc<ArcSwap<Targets>>,
    changed: mpsc::Sender<(ModelKey, Target)>,
) {
    let mut authority = Authority::new();
    while let Some(order) = inbox.recv().await {
        let changed_model = match order {
            Order::Announce(announced, answer) => {
                let outcome = announce(&mut authority, &announced);
                let news = matches!(outcome, Ok(AnnounceOutcome::Changed(_)));
                publish(&authority, &targets);
                // The one who asked may have gone; the announcement stands.
                let _ = answer.send(outcome);
                news.then_some(announced.model)
            }
            Order::Heard(model, target) => {
                let news = authority.merge(&model, target);
                publish(&authority, &targets);
                news.then_some(model)
            }
        };
        if let Some(model) = changed_model
            && let Some(target) = authority.target(&model)
        {
            // The reader is gone only when the process ends.
            let _ = changed.send((model, target)).await;
        }
    }
}

fn announce(
    authority: &mut Authority,
    announced: &Announced,
) -> Result<AnnounceOutcome, AnnounceError> {
    let by = Announcer {
        customer: &announced.customer,
        role: announced.role,
    };
    match announced.want {
        Want::Prepare => authority.prepare(&by, &announced.model, announced.version),
        Want::Announce => authority.announce(&by, &announced.model, announced.version),
        Want::RollBack => authority.roll_back(&by, &announced.model, announced.version),
    }
}

fn publish(authority: &Authority, targets: &ArcSwap<Targets>) {
    let all = authority
        .iter()
        .map(|(model, target)| (model.clone(), target));
    targets.store(Arc::new(all.collect()));
}
