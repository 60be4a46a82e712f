//! Client of the entries. It uses one entry at a time and moves to the next after a failure.

use std::time::Duration;

use adapters::{Endpoint, EndpointSettings, PlatformError, Request};
use bytes::Bytes;
use quick_error::quick_error;
use serde::Serialize;
use tokio::time::{Instant, sleep};

use super::messages::Problem;
use super::session::TrainerError;
use super::settings::TrainerSettings;

const RETRY_DELAY: Duration = Duration::from_millis(100);

quick_error! {
    /// Why a request to an entry failed.
    #[derive(Debug)]
    pub enum ExchangeError {
        /// No answer was received.
        Transport(err: PlatformError) {
            display("{}", err)
            from()
        }
        /// The entry refused the request, and a retry would be refused as well.
        Refused(status: u16, cause: String) {
            display("refused with status {}, cause {}", status, cause)
        }
        /// The step was still incomplete when it timed out.
        Incomplete(received: u32) {
            display("step incomplete with {} samples received", received)
        }
        /// The entry cannot process the request now; a retry may succeed.
        Unavailable(status: u16, cause: String) {
            display("status {}, cause {}", status, cause)
        }
    }
}

/// The entries, with the position of the current one.
pub(super) struct Entries {
    endpoints: Vec<Endpoint>,
    /// Grows with each retry. Its remainder by the number of entries is the current entry.
    current: usize,
    token: String,
    request_timeout_ms: u64,
    timeout: Duration,
    /// Requests that were tried again.
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
            current: 0,
            token: settings.token.clone(),
            request_timeout_ms: settings.request_timeout_ms,
            timeout: Duration::from_millis(settings.step_timeout_ms),
            retries: 0,
        })
    }

    /// Makes the next entry the current one and counts a retry.
    pub(super) async fn next_entry(&mut self) {
        self.retries += 1;
        self.current += 1;
        sleep(RETRY_DELAY).await;
    }

    /// Sends a message to one entry after the other until one accepts it, an entry refuses it for
    /// good, or the step times out.
    pub(super) async fn send_with_retries(
        &mut self,
        path: String,
        message: &impl Serialize,
    ) -> Result<Bytes, TrainerError> {
        let body = Bytes::from(serde_json::to_vec(message)?);
        let started = Instant::now();
        loop {
            match self.send(&path, &body, 0).await {
                Ok(body) => return Ok(body),
                Err(ExchangeError::Refused(status, cause)) => {
                    return Err(TrainerError::Refused(path, status, cause));
                }
                Err(error) if started.elapsed() > self.timeout => {
                    return Err(TrainerError::TimedOut(path, error));
                }
                Err(_) => self.next_entry().await,
            }
        }
    }

    /// Sends a message once, to the current entry. `wait_ms` extends the timeout by a long poll.
    pub(super) async fn send(
        &self,
        path: &str,
        body: &Bytes,
        wait_ms: u64,
    ) -> Result<Bytes, ExchangeError> {
        let request = self.request(path, body);
        let (status, body) = self.send_once(request, wait_ms).await?;
        if (200..300).contains(&status) {
            return Ok(body);
        }
        let problem: Problem = serde_json::from_slice(&body).unwrap_or_default();
        Err(match status {
            // This entry does not know the step (404, 410) or knows another state of it (409), is
            // overloaded (429), or fails: another entry may succeed.
            404 | 409 | 410 | 429 | 500..=599 => ExchangeError::Unavailable(status, problem.cause),
            _ => ExchangeError::Refused(status, problem.cause),
        })
    }

    async fn send_once(
        &self,
        request: Request,
        wait_ms: u64,
    ) -> Result<(u16, Bytes), PlatformError> {
        let entry = &self.endpoints[self.current % self.endpoints.len()];
        let timeout_ms = self.request_timeout_ms + wait_ms;
        let response = entry.send(request, timeout_ms).await?;
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
