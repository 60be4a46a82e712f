//! The entries that a trainer talks to, one at a time.

use std::time::Duration;

use adapters::{Endpoint, EndpointSettings, PlatformError, Request};
use bytes::Bytes;
use quick_error::quick_error;
use serde::Serialize;
use tokio::time::{Instant, sleep};

use super::messages::Problem;
use super::session::TrainerError;
use super::settings::TrainerSettings;

const RETRY_PAUSE: Duration = Duration::from_millis(100);

quick_error! {
    /// Why one exchange with an entry failed.
    #[derive(Debug)]
    pub enum ExchangeError {
        /// It failed on the way.
        Transport(err: PlatformError) {
            display("{}", err)
            from()
        }
        /// The entry refuses for good.
        Refused(status: u16, cause: String) {
            display("refused with status {}, cause {}", status, cause)
        }
        /// The step did not become complete.
        Incomplete(received: u32) {
            display("{} samples received and the step is not complete", received)
        }
        /// The entry cannot do it now.
        Unavailable(status: u16, cause: String) {
            display("status {}, cause {}", status, cause)
        }
    }
}

/// The entries and whose turn it is.
pub(super) struct Entries {
    endpoints: Vec<Endpoint>,
    turn: usize,
    token: String,
    request_timeout_ms: u64,
    give_up: Duration,
    /// Exchanges that were tried again.
    pub(super) retries: u64,
}

impl Entries {
    pub(super) fn new(settings: &TrainerSettings) -> Result<Entries, TrainerError> {
        if settings.entries.is_empty() {
            return Err(TrainerError::NoEntry);
        }
        let endpoint = |address| Endpoint::new(address, EndpointSettings::default());
        Ok(Entries {
            endpoints: settings.entries.iter().copied().map(endpoint).collect(),
            turn: 0,
            token: settings.token.clone(),
            request_timeout_ms: settings.request_timeout_ms,
            give_up: Duration::from_millis(settings.step_timeout_ms),
            retries: 0,
        })
    }

    /// Goes on with the next entry after a pause.
    pub(super) async fn next_entry(&mut self) {
        self.retries += 1;
        self.turn += 1;
        sleep(RETRY_PAUSE).await;
    }

    /// Tries until it is done, at one entry after the other.
    pub(super) async fn exchange(
        &mut self,
        path: String,
        message: &impl Serialize,
    ) -> Result<Bytes, TrainerError> {
        let body = Bytes::from(serde_json::to_vec(message)?);
        let began = Instant::now();
        loop {
            match self.attempt(&path, &body, 0).await {
                Ok(body) => return Ok(body),
                Err(ExchangeError::Refused(status, cause)) => {
                    return Err(TrainerError::Refused(path, status, cause));
                }
                Err(trouble) if began.elapsed() > self.give_up => {
                    return Err(TrainerError::TimedOut(path, trouble));
                }
                Err(_) => self.next_entry().await,
            }
        }
    }

    /// One exchange with the present entry.
    pub(super) async fn attempt(
        &self,
        path: &str,
        body: &Bytes,
        wait_ms: u64,
    ) -> Result<Bytes, ExchangeError> {
        let request = self.request(path, body);
        let (status, body) = self.once(request, wait_ms).await?;
        if (200..300).contains(&status) {
            return Ok(body);
        }
        let problem: Problem = serde_json::from_slice(&body).unwrap_or_default();
        Err(match status {
            // The step is not there, or its state has moved on, at this entry.
            404 | 409 | 410 | 429 | 500..=599 => ExchangeError::Unavailable(status, problem.cause),
            _ => ExchangeError::Refused(status, problem.cause),
        })
    }

    async fn once(&self, request: Request, wait_ms: u64) -> Result<(u16, Bytes), PlatformError> {
        let entry = &self.endpoints[self.turn % self.endpoints.len()];
        let deadline_ms = self.request_timeout_ms + wait_ms;
        let response = entry.send(request, deadline_ms).await?;
        let status = response.head.status;
        Ok((status, response.body.read_to_end().await?))
    }

    fn request(&self, path: &str, body: &Bytes) -> Request {
        let authorization = format!("Bearer {}", self.token);
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
