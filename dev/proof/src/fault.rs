//! The fault matrix: a driver that injects faults at a phase of a request and compares the
//! caller's answers with the number of runs that the endpoints counted.

use std::time::Duration;

use claims::{ClaimSettings, KeyDigest, shard_of, stream_name};
use derive::{key, value};
use futures_util::future::join_all;
use standins::{Fault as StandinFault, FaultKind};
use types::CustomerName;

use crate::{
    Answer, BreakMode, Ending, Pending, ProofError, RequestKind, Site, SiteSettings, TestRequest,
    status_page, wait_until,
};

/// Duration of a plain call, long enough to inject a fault while the call runs.
const SERVICE_MS: u64 = 900;
/// Time scale of the engines, with which a completion takes about a second.
const SCALE_PERMILLE: u32 = 4_000;
/// Longer than the timeout of a ping, so that peers consider the links of a paused process lost.
const PAUSE_DURATION: Duration = Duration::from_millis(1_800);
const REPEAT_INTERVAL: Duration = Duration::from_millis(250);
const REPEATS_MAX: u32 = 120;
const STREAMED_BYTES_MIN: usize = 400;
const DOWN_MS: u64 = 400;

/// An injected fault. "The agent" and "the endpoint" are those that handle the request.
#[key]
pub enum Fault {
    /// The endpoint crashes: its connections are closed and it refuses new ones for a short time.
    KillEndpoint,
    /// The agent is killed.
    KillAgent,
    /// The entry that has the caller's connection is killed.
    KillEntry,
    /// The other entry is killed.
    KillOtherEntry,
    /// The agent is paused and resumed.
    PauseAgent,
    /// The entry that has the caller's connection is paused and resumed.
    PauseEntry,
    /// The connection is closed in the middle of one answer of an endpoint.
    CutAnswer,
    /// One answer of an endpoint ends early, with a regular end.
    TruncateAnswer,
    /// One answer of an endpoint is lost after the endpoint ran the request.
    LoseAnswer,
    /// The log answers each request with status 503.
    LogOutage,
    /// The log accepts connections and never answers.
    LogSilent,
    /// The log appends a record of the claim's shard, and its answer is lost.
    LoseAppendAnswer,
    /// The open connections between agents and endpoints are closed; new ones work.
    CutEndpoint,
    /// The open connections between agents and endpoints carry no more data; new ones work.
    SilenceEndpoint,
    /// The caller closes its connection.
    CallerDisconnects,
}

impl Fault {
    fn needs_relay(self) -> bool {
        matches!(self, Fault::CutEndpoint | Fault::SilenceEndpoint)
    }
}

/// When the faults are injected.
#[key]
pub enum Phase {
    /// Before the request is sent.
    Before,
    /// While the endpoint runs the request.
    Running,
    /// While the answer is streamed, after its first bytes reached the caller.
    Streaming,
    /// The entry is paused before the request is sent and resumed later, so that the request waits
    /// in the entry's socket.
    EntryPaused,
    /// The entry is paused while the endpoint runs the request and answers; the faults follow
    /// before the entry reads the answer.
    Answered,
}

/// When the caller repeats the request through the other entry.
#[key]
pub enum Repeat {
    /// The caller does not repeat the request.
    Never,
    /// Right after the first request was sent.
    AtOnce,
    /// After the faults, without waiting for the first answer.
    During,
    /// After the first answer has ended.
    After,
}

/// A case of the fault matrix.
#[value]
pub struct Case {
    /// Description for failure messages.
    pub name: &'static str,
    /// Kind of the request that is sent.
    pub kind: RequestKind,
    /// Faults to inject, in this order.
    pub faults: &'static [Fault],
    /// When the faults are injected.
    pub phase: Phase,
    /// Endings that the first request may have.
    pub allowed_endings: &'static [Ending],
    /// When the request is repeated.
    pub repeat: Repeat,
    /// Endings that the last repeat may have.
    pub allowed_repeat_endings: &'static [Ending],
}

/// Runs all cases, several at the same time, and returns the failures.
pub async fn run_cases(cases: &[Case]) -> Vec<ProofError> {
    let ended = join_all(cases.iter().cloned().map(run_case)).await;
    ended.into_iter().filter_map(Result::err).collect()
}

/// Runs a case. Errors if the request has an ending that is not allowed, ran more often than
/// allowed, or got an answer that contradicts the number of its runs.
pub async fn run_case(case: Case) -> Result<(), ProofError> {
    let mut run = Run::start(case).await?;
    let answers = run.run_requests().await?;
    run.check_promises(&answers).await
}

struct Run {
    case: Case,
    test_request: TestRequest,
    text: String,
    site: Site,
}

struct Answers {
    first: Option<Answer>,
    repeats: Vec<Answer>,
}

impl Run {
    async fn start(case: Case) -> Result<Run, ProofError> {
        let model = case.kind.is_completion();
        let settings = SiteSettings {
            services: if model { 0 } else { 2 },
            engines: if model { 2 } else { 0 },
            service_ms: SERVICE_MS,
            scale_permille: SCALE_PERMILLE,
            has_relays: case.faults.iter().any(|fault| fault.needs_relay()),
            ..SiteSettings::default()
        };
        let test_request = TestRequest::new(case.kind, "file-17");
        let site = Site::start(settings).await?;
        let text = site.expected_text(&test_request).await?;
        Ok(Run {
            case,
            test_request,
            text,
            site,
        })
    }

    async fn run_requests(&mut self) -> Result<Answers, ProofError> {
        self.inject_endpoint_faults();
        if self.case.phase == Phase::Before {
            self.inject_faults(0).await?;
        }
        if self.case.phase == Phase::EntryPaused {
            self.site.entries[0].child.pause()?;
        }
        let mut pending = self.send(0);
        let mut repeats = match self.case.repeat {
            Repeat::AtOnce => vec![self.send(1).answer().await?],
            _ => Vec::new(),
        };
        if self.case.phase == Phase::EntryPaused {
            tokio::time::sleep(PAUSE_DURATION).await;
            self.site.entries[0].child.resume()?;
        } else if self.case.phase != Phase::Before && repeats.is_empty() {
            let carrying_agent = self.carrying_agent().await?;
            if self.case.phase == Phase::Streaming {
                pending.wait_for_bytes(STREAMED_BYTES_MIN).await;
            }
            if self.case.phase == Phase::Answered {
                self.site.entries[0].child.pause()?;
                tokio::time::sleep(PAUSE_DURATION).await;
            }
            self.inject_faults(carrying_agent).await?;
            if self.case.phase == Phase::Answered && !self.case.faults.contains(&Fault::KillEntry) {
                self.site.entries[0].child.resume()?;
            }
        }
        if self.case.repeat == Repeat::During {
            repeats.push(self.send(1).answer().await?);
        }
        let first = match self.case.faults.contains(&Fault::CallerDisconnects) {
            true => {
                pending.abandon();
                None
            }
            false => Some(pending.answer().await?),
        };
        if self.case.repeat != Repeat::Never {
            self.repeat_until_final(&mut repeats).await?;
        }
        Ok(Answers { first, repeats })
    }

    fn send(&self, entry: usize) -> Pending {
        self.site.send(entry, &self.test_request, &self.text)
    }

    /// Repeats the request until an answer is final, as a caller does while its key is in use.
    async fn repeat_until_final(&self, repeats: &mut Vec<Answer>) -> Result<(), ProofError> {
        for _ in 0..REPEATS_MAX {
            if repeats.last().is_some_and(is_final) {
                return Ok(());
            }
            tokio::time::sleep(REPEAT_INTERVAL).await;
            repeats.push(self.send(1).answer().await?);
        }
        Err(self.violation(format!("no final answer, last {:?}", repeats.last())))
    }

    /// Injects the faults that endpoints apply to an answer of theirs.
    fn inject_endpoint_faults(&self) {
        let once = |kind| StandinFault::new(kind).times(1).on(self.endpoint_path());
        for fault in self.case.faults {
            let kind = match fault {
                Fault::CutAnswer => FaultKind::Cut,
                Fault::TruncateAnswer => FaultKind::Truncate,
                Fault::LoseAnswer => FaultKind::AnswerLost,
                _ => continue,
            };
            // Either endpoint may get the request. Each applies the fault once, so that a second
            // request there succeeds.
            for endpoint in self.site.services.iter().chain(&self.site.engines) {
                endpoint.inject_fault(StandinFault {
                    after: 4,
                    ..once(kind)
                });
            }
        }
    }

    fn endpoint_path(&self) -> &'static str {
        match self.case.kind {
            RequestKind::Consultation => "/applicants",
            RequestKind::SanctionCheck | RequestKind::KeyedCheck => "/sanctions",
            RequestKind::Stream | RequestKind::Opinion => "/v1/completions",
        }
    }

    /// Waits until an agent has the request in progress and returns the agent's index.
    async fn carrying_agent(&self) -> Result<usize, ProofError> {
        let plain = !self.case.kind.is_completion();
        wait_until("an agent with the request", async || {
            if plain && self.site.run_count(&self.test_request.tag).await.ok()? == 0 {
                return None;
            }
            for (index, agent) in self.site.agents.iter().enumerate() {
                let page = status_page(agent.admin).await.ok()?;
                if page["in_progress"].as_u64()? > 0 {
                    return Some(index);
                }
            }
            None
        })
        .await
    }

    async fn inject_faults(&mut self, carrying_agent: usize) -> Result<(), ProofError> {
        let claim_path = self.claim_path()?;
        for fault in self.case.faults {
            let site = &mut self.site;
            match fault {
                Fault::KillEndpoint => {
                    let endpoints: Vec<_> = site.services.iter().chain(&site.engines).collect();
                    endpoints[carrying_agent].crash(DOWN_MS);
                }
                Fault::KillAgent => site.agents[carrying_agent].child.kill()?,
                Fault::KillEntry => site.entries[0].child.kill()?,
                Fault::KillOtherEntry => site.entries[1].child.kill()?,
                Fault::PauseAgent => pause_for_a_while(&site.agents[carrying_agent].child).await?,
                Fault::PauseEntry => pause_for_a_while(&site.entries[0].child).await?,
                Fault::LogOutage => site.log.inject_fault(StandinFault::new(FaultKind::Outage)),
                Fault::LogSilent => site.log.inject_fault(StandinFault::new(FaultKind::Silent)),
                Fault::LoseAppendAnswer => {
                    let lost = StandinFault::new(FaultKind::AnswerLost).times(1);
                    site.log.inject_fault(lost.on(claim_path.clone()));
                }
                Fault::CutEndpoint => break_connections(site, BreakMode::Cut),
                Fault::SilenceEndpoint => break_connections(site, BreakMode::Silent),
                Fault::CutAnswer | Fault::TruncateAnswer | Fault::LoseAnswer => {}
                Fault::CallerDisconnects => {}
            }
        }
        Ok(())
    }

    fn claim_path(&self) -> Result<String, ProofError> {
        let invalid = |_| ProofError::NotFound("a valid name of the customer".to_owned());
        let office = CustomerName::new("office").map_err(invalid)?;
        let key = KeyDigest::of(&office, &self.test_request.tag);
        let shard = shard_of(key, ClaimSettings::default().shards);
        Ok(format!("/streams/{}/records", stream_name(shard)))
    }

    async fn check_promises(&self, answers: &Answers) -> Result<(), ProofError> {
        let runs = match self.case.kind.is_completion() {
            true => 1,
            false => self.site.run_count(&self.test_request.tag).await?,
        };
        let summary = format!("{runs} runs, {}", describe(answers));
        if self.case.kind.is_at_most_once() && runs > 1 {
            return Err(self.violation(format!("ran more than once: {summary}")));
        }
        let is_allowed = |allowed_endings: &[Ending], answer: Option<&Answer>| {
            answer.is_none_or(|a| allowed_endings.contains(&a.ending))
        };
        if !is_allowed(self.case.allowed_endings, answers.first.as_ref()) {
            return Err(self.violation(format!(
                "the request has an ending that is not allowed: {summary}"
            )));
        }
        if self.case.repeat != Repeat::Never
            && !is_allowed(self.case.allowed_repeat_endings, answers.repeats.last())
        {
            return Err(self.violation(format!(
                "the repeat has an ending that is not allowed: {summary}"
            )));
        }
        let all: Vec<&Answer> = answers.first.iter().chain(&answers.repeats).collect();
        let any_not_run = all.iter().any(|answer| answer.ending == Ending::NotRun);
        let any_other = all.iter().any(|answer| answer.ending != Ending::NotRun);
        if any_not_run && !any_other && runs > 0 && !self.case.kind.is_completion() {
            return Err(self.violation(format!(
                "answered \"not run\" for a call that ran: {summary}"
            )));
        }
        if all.iter().any(|answer| answer.ending == Ending::Complete) && runs == 0 {
            return Err(self.violation(format!(
                "complete answer to a call that no endpoint ran: {summary}"
            )));
        }
        Ok(())
    }

    fn violation(&self, reason: String) -> ProofError {
        ProofError::Violation(self.case.name.to_owned(), reason)
    }
}

fn break_connections(site: &Site, break_mode: BreakMode) {
    site.relays
        .iter()
        .for_each(|relay| relay.break_open(break_mode));
}

async fn pause_for_a_while(child: &crate::Child) -> Result<(), ProofError> {
    child.pause()?;
    tokio::time::sleep(PAUSE_DURATION).await;
    child.resume()
}

fn is_final(answer: &Answer) -> bool {
    match answer.ending {
        Ending::Complete | Ending::Failed | Ending::Truncated => true,
        Ending::Unknown => !answer.has_retry_after,
        Ending::NotRun | Ending::Lost | Ending::Interrupted => false,
    }
}

fn describe(answers: &Answers) -> String {
    let all = answers.first.iter().chain(&answers.repeats);
    let words = all.map(|answer| format!("{:?} {} {}", answer.ending, answer.status, answer.cause));
    words.collect::<Vec<_>>().join("; ")
}
