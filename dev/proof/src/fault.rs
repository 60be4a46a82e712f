//! The fault matrix: one driver that puts faults at a step of a request and holds what
//! came of it against the endpoints' own count of runs.

use std::time::Duration;

use claims::{ClaimSettings, KeyDigest, shard_of, stream_name};
use derive::{key, value};
use futures_util::future::join_all;
use standins::{Fault as StandinFault, FaultKind};
use types::CustomerName;

use crate::{Answer, Ask, Ending, Kind, Pending, ProofError, Site, SiteSettings, Way, page, until};

/// Time that a plain call runs, long enough for a fault in its middle.
const SERVICE_MS: u64 = 900;
/// Time scale of engines, so that an opinion takes about a second.
const SCALE_PERMILLE: u32 = 4_000;
/// A freeze outlives the deadline of a ping, so that the links count as silent.
const FREEZE: Duration = Duration::from_millis(1_800);
const RETURN: Duration = Duration::from_millis(250);
const RETURNS_MAX: u32 = 120;
const STREAMED_BYTES: usize = 400;
const DOWN_MS: u64 = 400;

/// What goes wrong. "The agent" and "the endpoint" are those that carry the request.
#[key]
pub enum Fault {
    /// The endpoint's connections are cut and it is away for a moment.
    KillEndpoint,
    /// The agent dies.
    KillAgent,
    /// The entry that the caller talks to dies.
    KillEntry,
    /// The other entry dies.
    KillOtherEntry,
    /// The agent is paused and wakes again.
    FreezeAgent,
    /// The entry that the caller talks to is paused and wakes again.
    FreezeEntry,
    /// One answer of an endpoint is cut in its middle.
    CutAnswer,
    /// One answer of an endpoint ends too early, as if it were over.
    TruncateAnswer,
    /// One answer of an endpoint is lost after the work was done.
    LoseAnswer,
    /// The log answers 503.
    LogOutage,
    /// The log takes connections and says nothing.
    LogSilent,
    /// The log takes the claim, and its answer is lost.
    LoseAppendAnswer,
    /// The endpoint's open connections are cut; it lives and takes new ones.
    CutEndpoint,
    /// The endpoint's open connections go silent for good; it takes new ones.
    SilenceEndpoint,
    /// The caller goes away.
    CallerLeaves,
}

impl Fault {
    fn needs_relay(self) -> bool {
        matches!(self, Fault::CutEndpoint | Fault::SilenceEndpoint)
    }
}

/// When it goes wrong.
#[key]
pub enum Step {
    /// Before the request is sent.
    Before,
    /// While the endpoint runs it.
    Running,
    /// While its answer is streamed.
    Streaming,
    /// While the entry, paused, has it only in its socket; it wakes later.
    Asleep,
    /// When it is answered and the entry, paused, has not taken the answer.
    Answered,
}

/// When the caller sends it again through the other entry.
#[key]
pub enum Repeat {
    /// Not at all.
    Never,
    /// Together with the first.
    AtOnce,
    /// While the first one runs.
    During,
    /// When the first one has ended.
    After,
}

/// One case of the matrix.
#[value]
pub struct Case {
    /// What happens.
    pub name: &'static str,
    /// What is asked.
    pub kind: Kind,
    /// What goes wrong, in this order.
    pub faults: &'static [Fault],
    /// When.
    pub at: Step,
    /// How the request may end.
    pub ends: &'static [Ending],
    /// When the caller repeats it.
    pub repeat: Repeat,
    /// How the last of the repeats may end.
    pub repeat_ends: &'static [Ending],
}

/// Runs all cases, several at a time; gives the failures.
pub async fn run_cases(cases: &[Case]) -> Vec<ProofError> {
    let ended = join_all(cases.iter().cloned().map(run_case)).await;
    ended.into_iter().filter_map(Result::err).collect()
}

/// Runs one case. Errors when the request ends otherwise than it may, or not honestly.
pub async fn run_case(case: Case) -> Result<(), ProofError> {
    let mut run = Run::start(case).await?;
    let answers = run.answers().await?;
    run.judge(&answers).await
}

struct Run {
    case: Case,
    ask: Ask,
    text: String,
    site: Site,
}

struct Answers {
    first: Option<Answer>,
    repeats: Vec<Answer>,
}

impl Run {
    async fn start(case: Case) -> Result<Run, ProofError> {
        let model = case.kind.is_model();
        let settings = SiteSettings {
            services: if model { 0 } else { 2 },
            engines: if model { 2 } else { 0 },
            service_ms: SERVICE_MS,
            scale_permille: SCALE_PERMILLE,
            relayed: case.faults.iter().any(|fault| fault.needs_relay()),
            ..SiteSettings::default()
        };
        let ask = Ask::new(case.kind, "file-17");
        let site = Site::start(settings).await?;
        let text = site.text(&ask).await?;
        Ok(Run {
            case,
            ask,
            text,
            site,
        })
    }

    async fn answers(&mut self) -> Result<Answers, ProofError> {
        self.prepare();
        if self.case.at == Step::Before {
            self.strike(0).await?;
        }
        if self.case.at == Step::Asleep {
            self.site.entries[0].child.freeze()?;
        }
        let mut pending = self.begin(0);
        let mut repeats = match self.case.repeat {
            Repeat::AtOnce => vec![self.begin(1).answer().await?],
            _ => Vec::new(),
        };
        if self.case.at == Step::Asleep {
            tokio::time::sleep(FREEZE).await;
            self.site.entries[0].child.thaw()?;
        } else if self.case.at != Step::Before && repeats.is_empty() {
            let carrier = self.carrier().await?;
            if self.case.at == Step::Streaming {
                pending.streams(STREAMED_BYTES).await;
            }
            if self.case.at == Step::Answered {
                self.site.entries[0].child.freeze()?;
                tokio::time::sleep(FREEZE).await;
            }
            self.strike(carrier).await?;
            if self.case.at == Step::Answered && !self.case.faults.contains(&Fault::KillEntry) {
                self.site.entries[0].child.thaw()?;
            }
        }
        if self.case.repeat == Repeat::During {
            repeats.push(self.begin(1).answer().await?);
        }
        let first = match self.case.faults.contains(&Fault::CallerLeaves) {
            true => {
                pending.abandon();
                None
            }
            false => Some(pending.answer().await?),
        };
        if self.case.repeat != Repeat::Never {
            self.return_until_final(&mut repeats).await?;
        }
        Ok(Answers { first, repeats })
    }

    fn begin(&self, entry: usize) -> Pending {
        self.site.begin(entry, &self.ask, &self.text)
    }

    /// The caller comes back as long as it is told that its key is taken.
    async fn return_until_final(&self, repeats: &mut Vec<Answer>) -> Result<(), ProofError> {
        for _ in 0..RETURNS_MAX {
            if repeats.last().is_some_and(is_final) {
                return Ok(());
            }
            tokio::time::sleep(RETURN).await;
            repeats.push(self.begin(1).answer().await?);
        }
        Err(self.broken(format!("no final answer, last {:?}", repeats.last())))
    }

    /// Faults that wait for their request.
    fn prepare(&self) {
        let once = |kind| StandinFault::new(kind).times(1).on(self.path());
        for fault in self.case.faults {
            let kind = match fault {
                Fault::CutAnswer => FaultKind::Cut,
                Fault::TruncateAnswer => FaultKind::Truncate,
                Fault::LoseAnswer => FaultKind::AnswerLost,
                _ => continue,
            };
            // Either endpoint may get the request, and a second one must not fail again.
            for endpoint in self.site.services.iter().chain(&self.site.engines) {
                endpoint.fault(StandinFault {
                    after: 4,
                    ..once(kind)
                });
            }
        }
    }

    fn path(&self) -> &'static str {
        match self.case.kind {
            Kind::Consult => "/applicants",
            Kind::Sanction | Kind::Keyed => "/sanctions",
            Kind::Stream | Kind::Opinion => "/v1/completions",
        }
    }

    /// The agent that has the request in progress.
    async fn carrier(&self) -> Result<usize, ProofError> {
        let plain = !self.case.kind.is_model();
        until("an agent with the request", async || {
            if plain && self.site.runs(&self.ask.tag).await.ok()? == 0 {
                return None;
            }
            for (at, agent) in self.site.agents.iter().enumerate() {
                let page = page(agent.admin).await.ok()?;
                if page["in_progress"].as_u64()? > 0 {
                    return Some(at);
                }
            }
            None
        })
        .await
    }

    async fn strike(&mut self, carrier: usize) -> Result<(), ProofError> {
        let claim_path = self.claim_path()?;
        for fault in self.case.faults {
            let site = &mut self.site;
            match fault {
                Fault::KillEndpoint => {
                    let endpoints: Vec<_> = site.services.iter().chain(&site.engines).collect();
                    endpoints[carrier].crash(DOWN_MS);
                }
                Fault::KillAgent => site.agents[carrier].child.kill()?,
                Fault::KillEntry => site.entries[0].child.kill()?,
                Fault::KillOtherEntry => site.entries[1].child.kill()?,
                Fault::FreezeAgent => pause(&site.agents[carrier].child).await?,
                Fault::FreezeEntry => pause(&site.entries[0].child).await?,
                Fault::LogOutage => site.log.fault(StandinFault::new(FaultKind::Outage)),
                Fault::LogSilent => site.log.fault(StandinFault::new(FaultKind::Silent)),
                Fault::LoseAppendAnswer => {
                    let lost = StandinFault::new(FaultKind::AnswerLost).times(1);
                    site.log.fault(lost.on(claim_path.clone()));
                }
                Fault::CutEndpoint => break_all(site, Way::Cut),
                Fault::SilenceEndpoint => break_all(site, Way::Silent),
                Fault::CutAnswer | Fault::TruncateAnswer | Fault::LoseAnswer => {}
                Fault::CallerLeaves => {}
            }
        }
        Ok(())
    }

    fn claim_path(&self) -> Result<String, ProofError> {
        let bad = |_| ProofError::NotSeen("the customer's name".to_owned());
        let office = CustomerName::new("office").map_err(bad)?;
        let key = KeyDigest::of(&office, &self.ask.tag);
        let shard = shard_of(key, ClaimSettings::default().shards);
        Ok(format!("/streams/{}/records", stream_name(shard)))
    }

    async fn judge(&self, answers: &Answers) -> Result<(), ProofError> {
        let runs = match self.case.kind.is_model() {
            true => 1,
            false => self.site.runs(&self.ask.tag).await?,
        };
        let seen = format!("{runs} runs, {}", shown(answers));
        if self.case.kind.is_once() && runs > 1 {
            return Err(self.broken(format!("ran more than once: {seen}")));
        }
        let ends = |ends: &[Ending], answer: Option<&Answer>| {
            answer.is_none_or(|a| ends.contains(&a.ending))
        };
        if !ends(self.case.ends, answers.first.as_ref()) {
            return Err(self.broken(format!("ends otherwise than it may: {seen}")));
        }
        if self.case.repeat != Repeat::Never && !ends(self.case.repeat_ends, answers.repeats.last())
        {
            return Err(self.broken(format!("the repeat ends otherwise than it may: {seen}")));
        }
        let all: Vec<&Answer> = answers.first.iter().chain(&answers.repeats).collect();
        let said_not_run = all.iter().any(|answer| answer.ending == Ending::NotRun);
        let said_otherwise = all.iter().any(|answer| answer.ending != Ending::NotRun);
        if said_not_run && !said_otherwise && runs > 0 && !self.case.kind.is_model() {
            return Err(self.broken(format!("\"not run\" for a call that ran: {seen}")));
        }
        if all.iter().any(|answer| answer.ending == Ending::Whole) && runs == 0 {
            return Err(self.broken(format!("an answer that no endpoint gave: {seen}")));
        }
        Ok(())
    }

    fn broken(&self, how: String) -> ProofError {
        ProofError::Broken(self.case.name.to_owned(), how)
    }
}

fn break_all(site: &Site, way: Way) {
    site.relays.iter().for_each(|relay| relay.break_open(way));
}

async fn pause(child: &crate::Child) -> Result<(), ProofError> {
    child.freeze()?;
    tokio::time::sleep(FREEZE).await;
    child.thaw()
}

fn is_final(answer: &Answer) -> bool {
    match answer.ending {
        Ending::Whole | Ending::Failed | Ending::Short => true,
        Ending::Unknown => !answer.comes_back,
        Ending::NotRun | Ending::Lost | Ending::Broken => false,
    }
}

fn shown(answers: &Answers) -> String {
    let all = answers.first.iter().chain(&answers.repeats);
    let words = all.map(|answer| format!("{:?} {} {}", answer.ending, answer.status, answer.cause));
    words.collect::<Vec<_>>().join("; ")
}
