//! The training run itself.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use bytes::Bytes;
use platform::{Endpoint, EndpointSettings, PlatformError, Request};
use quick_error::quick_error;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::time::{Instant, sleep};
use types::WeightVersion;

use super::ledger::Ledger;
use super::messages::{Announcement, Fetch, Fetched, Group, Posted, Problem, Step};
use super::report::TrainerReport;
use super::settings::TrainerSettings;

const RETRY_PAUSE: Duration = Duration::from_millis(100);

quick_error! {
    /// Why a training run ends early.
    #[derive(Debug)]
    pub enum TrainerError {
        /// No entry was named.
        NoEntry {
            display("the trainer needs an entry")
        }
        /// An exchange did not come about in the time of a step.
        GaveUp(path: String, last: Trouble) {
            display("gave up on {}: {}", path, last)
        }
        /// An entry refused for good.
        Refused(path: String, status: u16, cause: String) {
            display("{} refused with status {}, cause {}", path, status, cause)
        }
        /// A message that is not JSON.
        Json(err: serde_json::Error) {
            display("not JSON: {}", err)
            from()
        }
    }
}

quick_error! {
    /// Why one exchange with an entry failed and may be tried again.
    #[derive(Debug)]
    pub enum Trouble {
        /// It failed on the way.
        Exchange(err: PlatformError) {
            display("{}", err)
            from()
        }
        /// The entry cannot do it now.
        Busy(status: u16, cause: String) {
            display("status {}, cause {}", status, cause)
        }
    }
}

/// Runs a training run to its end.
pub async fn run(settings: TrainerSettings) -> Result<TrainerReport, TrainerError> {
    let mut session = Session::new(settings)?;
    session.run().await?;
    Ok(session.report)
}

struct Session {
    entries: Vec<Endpoint>,
    turn: usize,
    version: WeightVersion,
    cursors: BTreeMap<u64, String>,
    report: TrainerReport,
    settings: TrainerSettings,
}

impl Session {
    fn new(settings: TrainerSettings) -> Result<Session, TrainerError> {
        if settings.entries.is_empty() {
            return Err(TrainerError::NoEntry);
        }
        let entry = |address| Endpoint::new(address, EndpointSettings::default());
        Ok(Session {
            entries: settings.entries.iter().copied().map(entry).collect(),
            turn: 0,
            version: settings.version,
            cursors: BTreeMap::new(),
            report: TrainerReport::default(),
            settings,
        })
    }

    async fn run(&mut self) -> Result<(), TrainerError> {
        let began = Instant::now();
        let first = self.settings.first_step;
        let mut to_post: VecDeque<u64> = (first..first + self.settings.steps).collect();
        self.announce().await?;
        for step in first..first + self.settings.steps {
            while to_post
                .front()
                .is_some_and(|next| *next <= step + self.settings.ahead)
            {
                let next = to_post.pop_front().unwrap_or(step);
                self.post(next).await?;
            }
            self.receive(step).await?;
            sleep(Duration::from_millis(self.settings.train_ms)).await;
            self.next_version(step).await?;
        }
        self.report.run_ms = began.elapsed().as_millis() as u64;
        Ok(())
    }

    async fn next_version(&mut self, step: u64) -> Result<(), TrainerError> {
        let done = step - self.settings.first_step + 1;
        let every = self.settings.weights_every;
        if every == 0 || !done.is_multiple_of(every) {
            return Ok(());
        }
        self.version.version += 1;
        self.announce().await
    }

    async fn announce(&mut self) -> Result<(), TrainerError> {
        let announcement = Announcement {
            version: self.version.to_string(),
        };
        let path = format!("/v1/training/{}/weights", self.settings.service);
        self.exchange(path, &announcement, 0).await?;
        Ok(())
    }

    async fn post(&mut self, step: u64) -> Result<(), TrainerError> {
        let service = &self.settings.service;
        let group = |group: u32| Group {
            prompt: format!(
                "{service}: step {step}, group {group}: write an opinion on this file."
            ),
            samples: self.settings.samples,
        };
        let groups: Vec<Group> = (0..self.settings.groups).map(group).collect();
        let cursor = self.cursors.get(&step).cloned();
        let message = Step {
            step,
            groups: &groups,
            max_tokens: self.settings.max_tokens,
            trainer_version: self.version.to_string(),
            cursor: cursor.as_deref(),
        };
        let path = format!("/v1/training/{service}/steps");
        let posted: Posted = parse(&self.exchange(path, &message, 0).await?)?;
        self.cursors.insert(step, posted.cursor);
        Ok(())
    }

    async fn receive(&mut self, step: u64) -> Result<(), TrainerError> {
        let waiting = Instant::now();
        let settings = &self.settings;
        let mut ledger = Ledger::new(
            step,
            settings.groups,
            settings.samples,
            settings.staleness_bound,
        );
        if !settings.texts_tell_versions {
            ledger = ledger.without_texts();
        }
        while !self.fetch(step, &mut ledger, waiting).await? {}
        self.report.faults.extend(ledger.complete());
        self.report.steps += 1;
        self.report.idle_ms += waiting.elapsed().as_millis() as u64;
        Ok(())
    }

    /// Fetches once and says whether the step is complete.
    async fn fetch(
        &mut self,
        step: u64,
        ledger: &mut Ledger,
        waiting: Instant,
    ) -> Result<bool, TrainerError> {
        let cursor = self.cursors.get(&step).cloned().unwrap_or_default();
        let message = Fetch {
            cursor: &cursor,
            trainer_version: self.version.to_string(),
            max: self.settings.fetch_max,
            wait_ms: self.settings.wait_ms,
        };
        let service = &self.settings.service;
        let path = format!("/v1/training/{service}/steps/{step}/fetch");
        let wait_ms = self.settings.wait_ms;
        let answer = self.exchange(path.clone(), &message, wait_ms).await;
        let answer = match answer {
            // The home of the step is gone and nobody else has it: post it again with
            // the cursor, so that only what is missing is made again.
            Err(TrainerError::Refused(_, 404 | 409 | 410, _)) => {
                self.report.retries += 1;
                self.post(step).await?;
                sleep(RETRY_PAUSE).await;
                return self.unless_late(waiting, path, "step-lost").map(|()| false);
            }
            other => other?,
        };
        let fetched: Fetched = parse(&answer)?;
        for sample in &fetched.samples {
            let faults = ledger.take(sample, self.version);
            self.report.faults.extend(faults);
            self.report.count(sample.staleness, sample.versions.len());
        }
        self.cursors.insert(step, fetched.cursor);
        if !fetched.complete && fetched.samples.is_empty() {
            self.unless_late(waiting, path, "no-samples")?;
        }
        Ok(fetched.complete)
    }

    fn unless_late(&self, since: Instant, path: String, cause: &str) -> Result<(), TrainerError> {
        if since.elapsed() < Duration::from_millis(self.settings.give_up_ms) {
            return Ok(());
        }
        Err(TrainerError::GaveUp(
            path,
            Trouble::Busy(0, cause.to_owned()),
        ))
    }

    async fn exchange(
        &mut self,
        path: String,
        message: &impl Serialize,
        wait_ms: u64,
    ) -> Result<Bytes, TrainerError> {
        let body = Bytes::from(serde_json::to_vec(message)?);
        let began = Instant::now();
        loop {
            let request = self.request(&path, &body);
            let trouble = match self.once(request, wait_ms).await {
                Ok((status, body)) if (200..300).contains(&status) => return Ok(body),
                Ok((status, body)) => {
                    let problem: Problem = serde_json::from_slice(&body).unwrap_or_default();
                    if !matches!(status, 429 | 500..=599) {
                        return Err(TrainerError::Refused(path, status, problem.cause));
                    }
                    Trouble::Busy(status, problem.cause)
                }
                Err(error) => Trouble::Exchange(error),
            };
            if began.elapsed() > Duration::from_millis(self.settings.give_up_ms) {
                return Err(TrainerError::GaveUp(path, trouble));
            }
            self.report.retries += 1;
            self.turn += 1;
            sleep(RETRY_PAUSE).await;
        }
    }

    async fn once(&self, request: Request, wait_ms: u64) -> Result<(u16, Bytes), PlatformError> {
        let entry = &self.entries[self.turn % self.entries.len()];
        let deadline_ms = self.settings.exchange_ms + wait_ms;
        let response = entry.send(request, deadline_ms).await?;
        let status = response.head.status;
        Ok((status, response.body.whole().await?))
    }

    fn request(&self, path: &str, body: &Bytes) -> Request {
        let authorization = format!("Bearer {}", self.settings.token);
        let headers = [
            ("authorization", authorization.as_str()),
            ("content-type", "application/json"),
        ];
        let headers = headers.map(|(name, value)| (name.to_owned(), value.to_owned()));
        Request {
            headers: headers.to_vec(),
            body: body.clone(),
            ..Request::new("POST", path)
        }
    }
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, TrainerError> {
    Ok(serde_json::from_slice(body)?)
}
