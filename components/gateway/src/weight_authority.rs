//! Keeps the active weight version of each model as known to this entry. One task owns the
//! authority; all others read an immutable snapshot.

use std::collections::BTreeMap;
use std::sync::Arc;

use arc_swap::ArcSwap;
use tokio::sync::{mpsc, oneshot};
use types::{Cause, CustomerName, Failure, Role, WeightVersion};
use weights::{AnnounceError, AnnounceOutcome, Announcer, Authority, ModelKey, Target};

use crate::rejection::Rejection;

/// Capacity of the command queue.
const COMMAND_QUEUE_MAX: usize = 256;

/// Change that a trainer or operator requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionAction {
    /// Make the version active.
    Announce,
    /// Load the version in advance; it becomes active with a later announcement.
    Prepare,
    /// Return to this version under a higher epoch.
    RollBack,
}

/// A change of a model's version, requested with a token.
#[derive(Debug)]
pub struct VersionRequest {
    /// Customer of the token.
    pub customer: CustomerName,
    /// Role of the token.
    pub role: Role,
    pub model: ModelKey,
    pub action: VersionAction,
    pub version: WeightVersion,
}

type Answer = oneshot::Sender<Result<AnnounceOutcome, AnnounceError>>;

enum Command {
    Announce(VersionRequest, Answer),
    MergeFromPeer(ModelKey, Target),
}

type Targets = BTreeMap<ModelKey, Target>;

/// Handle to the authority; clones share one state.
#[derive(Clone)]
pub struct WeightAuthority {
    commands: mpsc::Sender<Command>,
    targets: Arc<ArcSwap<Targets>>,
}

impl WeightAuthority {
    /// Starts the owner task. Every change is sent to `changed`.
    pub fn start(changed: mpsc::Sender<(ModelKey, Target)>) -> WeightAuthority {
        let (commands, inbox) = mpsc::channel(COMMAND_QUEUE_MAX);
        let targets = Arc::new(ArcSwap::default());
        tokio::spawn(run_owner(inbox, Arc::clone(&targets), changed));
        WeightAuthority { commands, targets }
    }

    /// Returns the current target versions of all models.
    pub fn targets(&self) -> Arc<Targets> {
        self.targets.load_full()
    }

    /// Applies a version change, or returns why it is rejected.
    pub async fn announce(&self, request: VersionRequest) -> Result<AnnounceOutcome, Rejection> {
        let internal = || Rejection::Call(Failure::not_run(Cause::Internal));
        let (answer, answered) = oneshot::channel();
        let command = Command::Announce(request, answer);
        self.commands.send(command).await.map_err(|_| internal())?;
        let outcome = answered.await.map_err(|_| internal())?;
        outcome.map_err(Rejection::Announcement)
    }

    /// Merges a target received from another process. If the queue is full, the target is
    /// dropped; the gossip repeats it.
    pub fn merge_from_peer(&self, model: ModelKey, target: Target) {
        let _ = self
            .commands
            .try_send(Command::MergeFromPeer(model, target));
    }
}

async fn run_owner(
    mut inbox: mpsc::Receiver<Command>,
    targets: Arc<ArcSwap<Targets>>,
    changed: mpsc::Sender<(ModelKey, Target)>,
) {
    let mut authority = Authority::new();
    while let Some(command) = inbox.recv().await {
        let changed_model = match command {
            Command::Announce(request, answer) => {
                let outcome = announce(&mut authority, &request);
                let is_changed = matches!(outcome, Ok(AnnounceOutcome::Changed(_)));
                publish(&authority, &targets);
                // The requester may have been cancelled; the announcement remains in effect.
                let _ = answer.send(outcome);
                is_changed.then_some(request.model)
            }
            Command::MergeFromPeer(model, target) => {
                let is_changed = authority.merge(&model, target);
                publish(&authority, &targets);
                is_changed.then_some(model)
            }
        };
        if let Some(model) = changed_model
            && let Some(target) = authority.target(&model)
        {
            // The receiver ends only with the process.
            let _ = changed.send((model, target)).await;
        }
    }
}

fn announce(
    authority: &mut Authority,
    request: &VersionRequest,
) -> Result<AnnounceOutcome, AnnounceError> {
    let by = Announcer {
        customer: &request.customer,
        role: request.role,
    };
    match request.action {
        VersionAction::Prepare => authority.prepare(&by, &request.model, request.version),
        VersionAction::Announce => authority.announce(&by, &request.model, request.version),
        VersionAction::RollBack => authority.roll_back(&by, &request.model, request.version),
    }
}

fn publish(authority: &Authority, targets: &ArcSwap<Targets>) {
    let all = authority
        .iter()
        .map(|(model, target)| (model.clone(), target));
    targets.store(Arc::new(all.collect()));
}
