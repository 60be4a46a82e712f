//! Claims of this entry's own submissions, and records that other entries bring.

use std::net::SocketAddr;
use std::time::Duration;

use adapters::LogClient;
use bytes::Bytes;
use claims::{
    Claim, ClaimAction, ClaimHolder, ClaimSettings, KeyDigest, Record, RequestDigest, Verdict,
    shard_of, writers_of,
};
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use node::now_ms;
use protocol::{Open, ProcessRole};
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;
use types::{Cause, CustomerName, Failure, RunState, ServiceName};

use super::reader::{self, ReadOrder};
use super::room::ClaimRoom;
use super::writer::{self, CLAIMS_PATH, WriteOrder};
use crate::gateway::Gateway;
use crate::peer::PeerCall;

/// Time for a writer to take a record, in milliseconds.
const DEADLINE_MS: u32 = 2_000;
const DEADLINE: Duration = Duration::from_millis(DEADLINE_MS as u64);

/// How long a submission waits for the end of its key's call. The record of an end is in
/// the log some milliseconds after the answer; a caller that lost the answer and comes
/// again at once would else be sent away for a second.
const END_WAIT_MS: u64 = 50;

/// Readers and writers of all shards.
pub struct Claims {
    /// Settings that every entry has alike.
    pub settings: ClaimSettings,
    /// The log, for recorded answers.
    pub log: LogClient,
    /// Room for requests that wait.
    pub room: ClaimRoom,
    readers: Vec<mpsc::Sender<ReadOrder>>,
    writers: Vec<mpsc::Sender<WriteOrder>>,
}

/// How a claim ended.
pub enum Claimed {
    /// This submission alone may run.
    Won(ClaimHolder),
    /// Another one has the key.
    Other(Verdict),
    /// No verdict in time; not run. The record takes the claim back; it waits for the
    /// log, which may be silent, so the caller gets its answer first.
    GivenUp(Failure, Option<Record>),
}

/// A submission that wants its key.
pub struct Submission<'a> {
    /// Customer whose key it is.
    pub customer: &'a CustomerName,
    /// The service, for the inner call's head.
    pub service: &'a ServiceName,
    /// The key.
    pub key: KeyDigest,
    /// What it asks for.
    pub request: RequestDigest,
    /// Longest time from the claim to the end of its call, in milliseconds.
    pub runs_for_ms: u32,
    /// When its caller gives up, on the process's monotonic clock.
    pub deadline_at_ms: u64,
}

impl Claims {
    /// Starts the readers and writers.
    pub fn start(log: &LogClient, settings: ClaimSettings) -> Claims {
        let shards = 0..settings.shards;
        Claims {
            settings,
            log: log.clone(),
            room: ClaimRoom::default(),
            readers: shards
                .clone()
                .map(|shard| reader::start(shard, log.clone(), settings))
                .collect(),
            writers: shards
                .map(|shard| writer::start(shard, log.clone(), settings))
                .collect(),
        }
    }

    /// Claims the key of a submission. To drop the future leaves a claim that may win
    /// with nobody to run it, so it runs in a task of its own.
    pub async fn claim(&self, gateway: &Gateway, submission: &Submission<'_>) -> Claimed {
        let shard = shard_of(submission.key, self.settings.shards);
        if let Some(verdict) = self.standing(shard, submission).await {
            return Claimed::Other(verdict);
        }
        let claim = Claim {
            key: submission.key,
            request: submission.request,
            claim: gateway.links.next_id(),
            runs_for_ms: submission.runs_for_ms,
        };
        let (answer, verdict) = oneshot::channel();
        let order = ReadOrder::Await {
            claim: claim.claim,
            answer,
        };
        if self.reader(shard, order).await.is_none() {
            return Claimed::GivenUp(Failure::not_run(Cause::Internal), None);
        }
        let holder = ClaimHolder::new(claim, self.settings, now_ms());
        let claimed = self.hold(gateway, submission, shard, holder, verdict).await;
        if !matches!(claimed, Claimed::Other(Verdict::Running)) {
            return claimed;
        }
        let ended = self.end(shard, submission).await;
        Claimed::Other(ended.unwrap_or(Verdict::Running))
    }

    async fn hold(
        &self,
        gateway: &Gateway,
        submission: &Submission<'_>,
        shard: u16,
        mut holder: ClaimHolder,
        mut verdict: oneshot::Receiver<Verdict>,
    ) -> Claimed {
        let writers = writers_of(shard, live_entries(gateway));
        let mut sends = FuturesUnordered::new();
        let mut refusals = 0;
        loop {
            if now_ms() >= submission.deadline_at_ms {
                holder.abandon();
            }
            let at_ms = match holder.next_action(now_ms()) {
                ClaimAction::Send { rank } => {
                    let Some(&to) = writers.get(rank % writers.len().max(1)) else {
                        holder.abandon();
                        continue;
                    };
                    let record = Record::Claim(*holder.claim());
                    sends.push(self.send(gateway, submission, shard, to, record));
                    continue;
                }
                ClaimAction::WaitUntil { at_ms } => at_ms,
                ClaimAction::Run => return Claimed::Won(holder),
                ClaimAction::Answer(verdict) => return Claimed::Other(verdict),
                ClaimAction::Abandon(failure) => {
                    return Claimed::GivenUp(failure, holder.release());
                }
            };
            let until_ms = at_ms.min(submission.deadline_at_ms);
            let wait = Duration::from_millis(until_ms.saturating_sub(now_ms()));
            tokio::select! {
                Ok(verdict) = &mut verdict => holder.on_verdict(verdict),
                Some(sent) = sends.next() => if sent.is_err() {
                    refusals += 1;
                    // With every writer refused the log is down, and the caller gets its
                    // answer now instead of at the end of the claim's time.
                    if refusals >= writers.len() {
                        holder.abandon();
                    } else {
                        holder.on_refused(now_ms());
                    }
                },
                () = tokio::time::sleep(wait) => {}
            }
        }
    }

    /// Writes a record through the shard's writers, the usual one first.
    pub async fn record(
        &self,
        gateway: &Gateway,
        submission: &Submission<'_>,
        record: Option<Record>,
    ) {
        let Some(record) = record else { return };
        let shard = shard_of(record.key(), self.settings.shards);
        for to in writers_of(shard, live_entries(gateway)) {
            let sent = self
                .send(gateway, submission, shard, to, record.clone())
                .await;
            if sent.is_ok() {
                return;
            }
        }
        // The writers have it and go on trying. Until one succeeds, repeats of the key are
        // told "unknown".
        log::warn!(event = "claim-record-late", shard; "");
    }

    /// Gives a record to one writer. An error says that it did not take it.
    async fn send(
        &self,
        gateway: &Gateway,
        submission: &Submission<'_>,
        shard: u16,
        to: SocketAddr,
        record: Record,
    ) -> Result<(), Failure> {
        if to == gateway.identity.node().address {
            return self.write(shard, record).await;
        }
        let internal = |_| Failure::not_run(Cause::Internal);
        let body = serde_json::to_vec(&record).map_err(internal)?;
        let call = PeerCall {
            request_id: "",
            customer: submission.customer,
            service: submission.service,
            path: &format!("{CLAIMS_PATH}{shard}"),
            body: Bytes::from(body),
            deadline_ms: DEADLINE_MS,
        };
        // A doubled record counts once.
        gateway.call_peer(to, call).await.map(|_| ())
    }

    /// Writes a record here. A log that says nothing keeps the record waiting; whoever
    /// brought it is told so after a while.
    pub async fn write(&self, shard: u16, record: Record) -> Result<(), Failure> {
        let unavailable = Failure::not_run(Cause::ClaimUnavailable);
        let writer = self.writers.get(usize::from(shard)).ok_or(unavailable)?;
        let (answer, written) = oneshot::channel();
        let order = WriteOrder { record, answer };
        writer.try_send(order).map_err(|_| unavailable)?;
        let lost = Failure::new(RunState::Unknown, Cause::Internal);
        let written = timeout(DEADLINE, written).await;
        written.map_err(|_| lost)?.map_err(|_| lost)?
    }

    /// What became of the key's call so far; `None` when the key may be claimed.
    async fn standing(&self, shard: u16, submission: &Submission<'_>) -> Option<Verdict> {
        match self.peek(shard, submission).await {
            Some(Verdict::Running) => self.end(shard, submission).await,
            verdict => verdict,
        }
    }

    /// Waits a little for the end of the key's call. What is known already comes at once.
    async fn end(&self, shard: u16, submission: &Submission<'_>) -> Option<Verdict> {
        let left_ms = submission.deadline_at_ms.saturating_sub(now_ms());
        let wait = Duration::from_millis(left_ms.min(END_WAIT_MS));
        let (answer, ended) = oneshot::channel();
        let order = ReadOrder::End {
            key: submission.key,
            request: submission.request,
            answer,
        };
        self.reader(shard, order).await?;
        match timeout(wait, ended).await {
            Ok(Ok(verdict)) => verdict,
            Ok(Err(_)) | Err(_) => Some(Verdict::Running),
        }
    }

    async fn peek(&self, shard: u16, submission: &Submission<'_>) -> Option<Verdict> {
        let (answer, peeked) = oneshot::channel();
        let order = ReadOrder::Peek {
            key: submission.key,
            request: submission.request,
            answer,
        };
        self.reader(shard, order).await?;
        peeked.await.ok().flatten()
    }

    async fn reader(&self, shard: u16, order: ReadOrder) -> Option<()> {
        let reader = self.readers.get(usize::from(shard))?;
        reader.send(order).await.ok()
    }
}

/// Entries that may write, this one among them.
fn live_entries(gateway: &Gateway) -> Vec<SocketAddr> {
    let snapshot = gateway.gossip.snapshot();
    let now_ms = now_ms();
    let others = snapshot.live(ProcessRole::Entry);
    let others = others.map(|member| member.address);
    let reached = others.filter(|&address| !gateway.reachability.is_unreachable(address, now_ms));
    reached.chain([gateway.identity.node().address]).collect()
}

/// Takes a record that another entry brings.
pub async fn take_record(gateway: &Gateway, open: &Open) -> Result<(), Failure> {
    let malformed = Failure::not_run(Cause::Malformed);
    let shard = open.path.strip_prefix(CLAIMS_PATH).ok_or(malformed)?;
    let shard: u16 = shard.parse().map_err(|_| malformed)?;
    let record: Record = serde_json::from_slice(&open.body).map_err(|_| malformed)?;
    gateway.claims.write(shard, record).await
}
