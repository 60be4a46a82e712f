//! Claims for the submissions that this entry receives, and records that other entries send.

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

use super::reader::{self, ReadCommand};
use super::wait_limit::ClaimWaitLimit;
use super::writer::{self, CLAIMS_PATH, WriteCommand};
use crate::gateway::Gateway;
use crate::peer::PeerCall;

/// Time within which a writer must confirm a record.
const WRITE_TIMEOUT_MS: u32 = 2_000;
const WRITE_TIMEOUT: Duration = Duration::from_millis(WRITE_TIMEOUT_MS as u64);

/// How long a submission waits for the key's call to end. The end is recorded in the log a few
/// milliseconds after the answer is sent. Without this wait, a caller that lost the answer and
/// resubmits at once would be told to retry after a second.
const END_WAIT_MS: u64 = 50;

/// Readers and writers of all shards, and the limit on requests that wait for a claim.
pub struct Claims {
    /// Must be the same at every entry.
    pub settings: ClaimSettings,
    /// Client for reading recorded answers.
    pub log: LogClient,
    pub wait_limit: ClaimWaitLimit,
    readers: Vec<mpsc::Sender<ReadCommand>>,
    writers: Vec<mpsc::Sender<WriteCommand>>,
}

/// Outcome of an attempt to claim a key.
pub enum ClaimOutcome {
    /// This submission is the only one that may run.
    Won(ClaimHolder),
    /// Another submission has claimed the key.
    HeldByOther(Verdict),
    /// There was no verdict in time, and the call was not run. The record releases the claim.
    /// Writing the record can block on an unresponsive log, so the caller is answered first.
    Abandoned(Failure, Option<Record>),
}

/// A submission that claims its key.
pub struct Submission<'a> {
    pub customer: &'a CustomerName,
    /// Service named in calls to other entries.
    pub service: &'a ServiceName,
    pub key: KeyDigest,
    /// Digest of the request, which detects a key that is reused for another request.
    pub request: RequestDigest,
    /// Longest time from the claim until the end of the call is recorded.
    pub runs_for_ms: u32,
    /// The caller's deadline, on the process's monotonic clock.
    pub deadline_at_ms: u64,
}

impl Claims {
    /// Starts the readers and writers of all shards.
    pub fn start(log: &LogClient, settings: ClaimSettings) -> Claims {
        let shards = 0..settings.shards;
        Claims {
            settings,
            log: log.clone(),
            wait_limit: ClaimWaitLimit::default(),
            readers: shards
                .clone()
                .map(|shard| reader::start(shard, log.clone(), settings))
                .collect(),
            writers: shards
                .map(|shard| writer::start(shard, log.clone(), settings))
                .collect(),
        }
    }

    /// Claims the key of a submission. If this future is dropped, its claim may still win and block
    /// the key without being run; the caller therefore runs it in a task of its own.
    pub async fn claim(&self, gateway: &Gateway, submission: &Submission<'_>) -> ClaimOutcome {
        let shard = shard_of(submission.key, self.settings.shards);
        if let Some(verdict) = self.existing_verdict(shard, submission).await {
            return ClaimOutcome::HeldByOther(verdict);
        }
        let claim = Claim {
            key: submission.key,
            request: submission.request,
            claim: gateway.links.next_id(),
            runs_for_ms: submission.runs_for_ms,
        };
        let (answer, verdict) = oneshot::channel();
        let command = ReadCommand::AwaitVerdict {
            claim: claim.claim,
            answer,
        };
        if self.send_command(shard, command).await.is_none() {
            return ClaimOutcome::Abandoned(Failure::not_run(Cause::Internal), None);
        }
        let holder = ClaimHolder::new(claim, self.settings, now_ms());
        let claimed = self
            .await_verdict(gateway, submission, shard, holder, verdict)
            .await;
        if !matches!(claimed, ClaimOutcome::HeldByOther(Verdict::Running)) {
            return claimed;
        }
        let ended = self.wait_for_end(shard, submission).await;
        ClaimOutcome::HeldByOther(ended.unwrap_or(Verdict::Running))
    }

    async fn await_verdict(
        &self,
        gateway: &Gateway,
        submission: &Submission<'_>,
        shard: u16,
        mut holder: ClaimHolder,
        mut verdict: oneshot::Receiver<Verdict>,
    ) -> ClaimOutcome {
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
                    sends.push(self.send_record(gateway, submission, shard, to, record));
                    continue;
                }
                ClaimAction::WaitUntil { at_ms } => at_ms,
                ClaimAction::Run => return ClaimOutcome::Won(holder),
                ClaimAction::Answer(verdict) => return ClaimOutcome::HeldByOther(verdict),
                ClaimAction::Abandon(failure) => {
                    return ClaimOutcome::Abandoned(failure, holder.release());
                }
            };
            let until_ms = at_ms.min(submission.deadline_at_ms);
            let wait = Duration::from_millis(until_ms.saturating_sub(now_ms()));
            tokio::select! {
                Ok(verdict) = &mut verdict => holder.on_verdict(verdict),
                Some(sent) = sends.next() => if sent.is_err() {
                    refusals += 1;
                    // If every writer has refused, the log is unavailable. The caller is answered
                    // now instead of after the claim's timeout.
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

    /// Sends a record to the shard's writers in order of preference until one of them confirms it.
    pub async fn append_record(
        &self,
        gateway: &Gateway,
        submission: &Submission<'_>,
        record: Option<Record>,
    ) {
        let Some(record) = record else { return };
        let shard = shard_of(record.key(), self.settings.shards);
        for to in writers_of(shard, live_entries(gateway)) {
            let sent = self
                .send_record(gateway, submission, shard, to, record.clone())
                .await;
            if sent.is_ok() {
                return;
            }
        }
        // A writer that has received the record keeps retrying the append. Until an append
        // succeeds, repeated submissions of the key are answered with "unknown".
        log::warn!(event = "claim-record-late", shard; "");
    }

    /// Sends a record to one writer. An error means that the writer did not confirm it.
    async fn send_record(
        &self,
        gateway: &Gateway,
        submission: &Submission<'_>,
        shard: u16,
        to: SocketAddr,
        record: Record,
    ) -> Result<(), Failure> {
        if to == gateway.identity.node().address {
            return self.write_locally(shard, record).await;
        }
        let internal = |_| Failure::not_run(Cause::Internal);
        let body = serde_json::to_vec(&record).map_err(internal)?;
        let call = PeerCall {
            request_id: "",
            customer: submission.customer,
            service: submission.service,
            path: &format!("{CLAIMS_PATH}{shard}"),
            body: Bytes::from(body),
            deadline_ms: WRITE_TIMEOUT_MS,
        };
        // The call may be repeated: a duplicate record has no effect.
        gateway.call_peer(to, call).await.map(|_| ())
    }

    /// Passes a record to this entry's own writer. While the log does not respond, the record stays
    /// queued, and the call fails with an unknown outcome after the write timeout.
    pub async fn write_locally(&self, shard: u16, record: Record) -> Result<(), Failure> {
        let unavailable = Failure::not_run(Cause::ClaimUnavailable);
        let writer = self.writers.get(usize::from(shard)).ok_or(unavailable)?;
        let (answer, written) = oneshot::channel();
        let command = WriteCommand { record, answer };
        writer.try_send(command).map_err(|_| unavailable)?;
        let lost = Failure::new(RunState::Unknown, Cause::Internal);
        let written = timeout(WRITE_TIMEOUT, written).await;
        written.map_err(|_| lost)?.map_err(|_| lost)?
    }

    /// The verdict on an earlier claim of the key; `None` if the key may be claimed. Waits up to
    /// `END_WAIT_MS` for a running call to end.
    async fn existing_verdict(&self, shard: u16, submission: &Submission<'_>) -> Option<Verdict> {
        match self.peek(shard, submission).await {
            Some(Verdict::Running) => self.wait_for_end(shard, submission).await,
            verdict => verdict,
        }
    }

    /// Waits up to `END_WAIT_MS` for the key's call to end. Returns at once if it has already
    /// ended.
    async fn wait_for_end(&self, shard: u16, submission: &Submission<'_>) -> Option<Verdict> {
        let left_ms = submission.deadline_at_ms.saturating_sub(now_ms());
        let wait = Duration::from_millis(left_ms.min(END_WAIT_MS));
        let (answer, ended) = oneshot::channel();
        let command = ReadCommand::AwaitEnd {
            key: submission.key,
            request: submission.request,
            answer,
        };
        self.send_command(shard, command).await?;
        match timeout(wait, ended).await {
            Ok(Ok(verdict)) => verdict,
            Ok(Err(_)) | Err(_) => Some(Verdict::Running),
        }
    }

    async fn peek(&self, shard: u16, submission: &Submission<'_>) -> Option<Verdict> {
        let (answer, peeked) = oneshot::channel();
        let command = ReadCommand::Peek {
            key: submission.key,
            request: submission.request,
            answer,
        };
        self.send_command(shard, command).await?;
        peeked.await.ok().flatten()
    }

    async fn send_command(&self, shard: u16, command: ReadCommand) -> Option<()> {
        let reader = self.readers.get(usize::from(shard))?;
        reader.send(command).await.ok()
    }
}

/// Addresses of the entries that may write records, including this entry.
fn live_entries(gateway: &Gateway) -> Vec<SocketAddr> {
    let snapshot = gateway.gossip.snapshot();
    let now_ms = now_ms();
    let others = snapshot.live(ProcessRole::Entry);
    let others = others.map(|member| member.address);
    let reached = others.filter(|&address| !gateway.reachability.is_unreachable(address, now_ms));
    reached.chain([gateway.identity.node().address]).collect()
}

/// Handles an inner call in which another entry sends a record.
pub async fn receive_record(gateway: &Gateway, open: &Open) -> Result<(), Failure> {
    let malformed = Failure::not_run(Cause::Malformed);
    let shard = open.path.strip_prefix(CLAIMS_PATH).ok_or(malformed)?;
    let shard: u16 = shard.parse().map_err(|_| malformed)?;
    let record: Record = serde_json::from_slice(&open.body).map_err(|_| malformed)?;
    gateway.claims.write_locally(shard, record).await
}
