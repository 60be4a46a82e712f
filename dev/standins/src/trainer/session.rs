//! Training run: posts the steps, receives their samples and advances the weight version.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use bytes::Bytes;
use quick_error::quick_error;
use serde::de::DeserializeOwned;
use tokio::time::{Instant, sleep};
use types::WeightVersion;

use super::entries::{Entries, ExchangeError};
use super::ledger::Ledger;
use super::messages::{Announcement, Fetch, Fetched, Group, Posted, Step};
use super::report::TrainerReport;
use super::settings::TrainerSettings;

quick_error! {
    /// Why a training run ended early.
    #[derive(Debug)]
    pub enum TrainerError {
        /// The settings list no entry.
        NoEntry {
            display("the trainer needs the address of at least one entry")
        }
        /// A request or a step did not complete within the step's timeout.
        TimedOut(path: String, last: ExchangeError) {
            display("{} timed out; last failure: {}", path, last)
        }
        /// An entry refused a request, and a retry would be refused as well.
        Refused(path: String, status: u16, cause: String) {
            display("{} refused with status {}, cause {}", path, status, cause)
        }
        /// A message could not be encoded, or an answer could not be parsed.
        Json(err: serde_json::Error) {
            display("invalid JSON in a message of the training API: {}", err)
            from()
        }
    }
}

/// Runs all steps and returns the measurements.
pub async fn run(settings: TrainerSettings) -> Result<TrainerReport, TrainerError> {
    let mut session = Session::new(settings)?;
    session.run().await?;
    session.report.retries = session.entries.retries;
    Ok(session.report)
}

struct Session {
    entries: Entries,
    version: WeightVersion,
    cursors: BTreeMap<u64, String>,
    report: TrainerReport,
    settings: TrainerSettings,
}

impl Session {
    fn new(settings: TrainerSettings) -> Result<Session, TrainerError> {
        Ok(Session {
            entries: Entries::new(&settings)?,
            version: settings.version,
            cursors: BTreeMap::new(),
            report: TrainerReport::default(),
            settings,
        })
    }

    async fn run(&mut self) -> Result<(), TrainerError> {
        let started = Instant::now();
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
            self.receive_step(step).await?;
            sleep(Duration::from_millis(self.settings.train_ms)).await;
            self.advance_version(step).await?;
        }
        self.report.run_ms = started.elapsed().as_millis() as u64;
        Ok(())
    }

    async fn advance_version(&mut self, step: u64) -> Result<(), TrainerError> {
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
        self.entries.send_with_retries(path, &announcement).await?;
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
        let posted: Posted = parse(&self.entries.send_with_retries(path, &message).await?)?;
        self.cursors.insert(step, posted.cursor);
        Ok(())
    }

    async fn receive_step(&mut self, step: u64) -> Result<(), TrainerError> {
        let waiting_since = Instant::now();
        let settings = &self.settings;
        let mut ledger = Ledger::new(
            step,
            settings.groups,
            settings.samples,
            settings.staleness_bound,
        );
        if !settings.texts_contain_versions {
            ledger = ledger.ignoring_texts();
        }
        while !self.fetch(step, &mut ledger, waiting_since).await? {}
        self.report.faults.extend(ledger.check_complete());
        self.report.steps += 1;
        self.report.idle_ms += waiting_since.elapsed().as_millis() as u64;
        Ok(())
    }

    /// Fetches samples once and returns whether the step is complete.
    async fn fetch(
        &mut self,
        step: u64,
        ledger: &mut Ledger,
        waiting_since: Instant,
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
        let body = Bytes::from(serde_json::to_vec(&message)?);
        let answer = match self.entries.send(&path, &body, wait_ms).await {
            Ok(answer) => answer,
            Err(error) => return self.repost(step, waiting_since, path, error).await,
        };
        let fetched: Fetched = parse(&answer)?;
        for sample in &fetched.samples {
            let faults = ledger.record(sample, self.version);
            self.report.faults.extend(faults);
            self.report.count(sample.staleness, sample.versions.len());
        }
        self.cursors.insert(step, fetched.cursor);
        if !fetched.complete && waiting_since.elapsed() > self.step_timeout() {
            return Err(TrainerError::TimedOut(
                path,
                ExchangeError::Incomplete(fetched.received),
            ));
        }
        Ok(fetched.complete)
    }

    /// Posts the step again at the next entry, because the entry that coordinated the step may have
    /// failed and lost its state. The post is idempotent: with the cursor, only the missing samples
    /// are generated.
    async fn repost(
        &mut self,
        step: u64,
        waiting_since: Instant,
        path: String,
        error: ExchangeError,
    ) -> Result<bool, TrainerError> {
        if let ExchangeError::Refused(status, cause) = error {
            return Err(TrainerError::Refused(path, status, cause));
        }
        if waiting_since.elapsed() > self.step_timeout() {
            return Err(TrainerError::TimedOut(path, error));
        }
        self.entries.next_entry().await;
        self.post(step).await?;
        Ok(false)
    }

    fn step_timeout(&self) -> Duration {
        Duration::from_millis(self.settings.step_timeout_ms)
    }
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, TrainerError> {
    Ok(serde_json::from_slice(body)?)
}
