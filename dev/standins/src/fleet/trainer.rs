//! A trainer: it names versions, submits steps, reads their results at whichever front
//! answers, and holds each page against what it was promised.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::Request;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use quick_error::quick_error;
use serde_json::Value;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout};

use super::records::{self, HOST, MODEL, STEPS};
use super::store::Store;

/// Longest time for one call, in milliseconds.
const CALL_MS: u64 = 3_000;
/// Time after the acceptance from which on every front knows the step.
const SETTLE: Duration = Duration::from_secs(1);
/// How long a read may wait for a result, in milliseconds.
const WAIT_MS: u64 = 200;
/// Pause before another front is asked, in milliseconds.
const PAUSE_MS: u64 = 20;
/// Longest body of an answer.
const ANSWER_BYTES_MAX: usize = 4 << 20;
/// How many pages are read before an earlier position is read again.
const REREAD_EVERY: usize = 3;

quick_error! {
    /// A promise that was not kept.
    #[derive(Debug)]
    pub enum Violation {
        /// The step was not taken or not whole in time.
        TimedOut(step: String, read: usize) {
            display("step {}: {} results in time", step, read)
        }
        /// A proper step was refused for good.
        Refused(step: String, status: u16) {
            display("step {} was answered {}", step, status)
        }
        /// A position holds another result than before.
        ResultChanged(step: String, position: usize) {
            display("step {}: position {} has changed", step, position)
        }
        /// An item stands at two positions, or is none of the step.
        UnexpectedItem(step: String, item: String) {
            display("step {}: item {} stands twice or is none of it", step, item)
        }
        /// A result's text, versions or score are not what they must be.
        WrongResult(step: String, result: String) {
            display("step {}: {}", step, result)
        }
    }
}

/// What every text of the site's model replicas is.
pub struct Expected {
    /// Events of a text.
    pub events: u64,
    /// Longest time for a step.
    pub timeout: Duration,
}

/// A trainer of the one model.
pub struct Trainer {
    store: Store,
    expected: Expected,
    fronts: Vec<SocketAddr>,
    turn: usize,
}

/// A step as far as it was read.
struct Reading {
    id: String,
    min_version: u64,
    named: u64,
    items: usize,
    results: Vec<Value>,
    seen: BTreeSet<String>,
}

impl Trainer {
    /// A trainer that knows no front yet.
    pub fn new(store: Store, expected: Expected) -> Self {
        Self {
            store,
            expected,
            fronts: Vec::new(),
            turn: 0,
        }
    }

    /// The fronts that it asks from now on, in turn.
    pub fn set_fronts(&mut self, fronts: impl IntoIterator<Item = SocketAddr>) {
        self.fronts = fronts.into_iter().collect();
    }

    /// Names a version and has a step of it made by that version or the one before; gives the
    /// results, in their positions.
    pub async fn train(&mut self, number: u64, items: usize) -> Result<Vec<Value>, Violation> {
        let key = format!("version/{MODEL}");
        let record = records::version(number);
        self.store.put("keyed.op", &key, Some(&record));
        let min_version = number.saturating_sub(1).max(1);
        let step = records::step(number, min_version, items);
        let mut reading = Reading {
            id: format!("step-{number}"),
            min_version,
            named: number,
            items,
            results: Vec::new(),
            seen: BTreeSet::new(),
        };
        let until = Instant::now() + self.expected.timeout;
        self.submit(&reading, step, until).await?;
        self.read_all(&mut reading, until).await?;
        self.end(&reading, until).await?;
        Ok(reading.results)
    }

    async fn submit(
        &mut self,
        reading: &Reading,
        step: String,
        until: Instant,
    ) -> Result<(), Violation> {
        while Instant::now() < until {
            let path = format!("{STEPS}{}", reading.id);
            match self.ask("POST", path, step.clone(), reading).await {
                Some((202, _)) => return Ok(()),
                // Not accepted, or nobody knows: the same step again is one step.
                Some((429 | 500.., _)) | None => sleep(Duration::from_millis(PAUSE_MS)).await,
                Some((status, _)) => return Err(Violation::Refused(reading.id.clone(), status)),
            }
        }
        Err(Violation::TimedOut(reading.id.clone(), 0))
    }

    async fn read_all(&mut self, reading: &mut Reading, until: Instant) -> Result<(), Violation> {
        let accepted = Instant::now();
        let mut pages = 0;
        while reading.results.len() < reading.items {
            if Instant::now() >= until {
                return Err(Violation::TimedOut(
                    reading.id.clone(),
                    reading.results.len(),
                ));
            }
            pages += 1;
            let after = match pages % REREAD_EVERY {
                0 => reading.results.len() / 2,
                _ => reading.results.len(),
            };
            let path = format!("/v1/lots/{}?After={after}", reading.id);
            match self.ask("GET", path, String::new(), reading).await {
                Some((200, page)) => self.take(reading, after, &page)?,
                Some((status @ (404 | 410), _)) if accepted.elapsed() > SETTLE => {
                    return Err(Violation::Refused(reading.id.clone(), status));
                }
                _ => sleep(Duration::from_millis(PAUSE_MS)).await,
            }
        }
        Ok(())
    }

    async fn end(&mut self, reading: &Reading, until: Instant) -> Result<(), Violation> {
        while Instant::now() < until {
            let path = format!("/v1/lots/{}", reading.id);
            if let Some((200, _)) = self.ask("DELETE", path, String::new(), reading).await {
                return Ok(());
            }
            sleep(Duration::from_millis(PAUSE_MS)).await;
        }
        Err(Violation::TimedOut(
            reading.id.clone(),
            reading.results.len(),
        ))
    }

    fn take(&self, reading: &mut Reading, after: usize, page: &Value) -> Result<(), Violation> {
        let results = page["Results"].as_array().cloned().unwrap_or_default();
        for (position, result) in (after..).zip(results) {
            match reading.results.get(position) {
                Some(known) if *known == result => {}
                Some(_) => return Err(Violation::ResultChanged(reading.id.clone(), position)),
                None => {
                    self.check(reading, &result)?;
                    reading.results.push(result);
                }
            }
        }
        Ok(())
    }

    fn check(&self, reading: &mut Reading, result: &Value) -> Result<(), Violation> {
        let id = result["Id"].as_str().unwrap_or_default().to_owned();
        let prefix = format!("item-{}-", reading.named);
        if !id.starts_with(&prefix) || !reading.seen.insert(id.clone()) {
            return Err(Violation::UnexpectedItem(reading.id.clone(), id));
        }
        let versions = result["Versions"].as_array().cloned().unwrap_or_default();
        let allowed = reading.min_version..=reading.named;
        let is_allowed = |version: &Value| version.as_u64().is_some_and(|v| allowed.contains(&v));
        let kept = result["State"] == "succeeded"
            && result["Text"] == expected_text(self.expected.events)
            && !versions.is_empty()
            && versions.iter().all(is_allowed)
            && result["Score"] == id.replace("item", "stamp-score");
        match kept {
            true => Ok(()),
            false => Err(Violation::WrongResult(
                reading.id.clone(),
                result.to_string(),
            )),
        }
    }

    /// Status and page, if a whole answer came.
    async fn ask(
        &mut self,
        method: &str,
        path: String,
        body: String,
        reading: &Reading,
    ) -> Option<(u16, Value)> {
        self.turn += 1;
        let front = *self.fronts.get(self.turn % self.fronts.len().max(1))?;
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header("host", HOST)
            // The id of its submission is the step's name; a read needs none.
            .header("hornbeamrock-request-id", &reading.id)
            .header("hornbeamrock-deadline-ms", CALL_MS)
            .header("hornbeamrock-wait-ms", WAIT_MS)
            .body(Full::new(Bytes::from(body)))
            .ok()?;
        let within = Duration::from_millis(CALL_MS);
        timeout(within, exchange(front, request)).await.ok()?
    }
}

/// One request on a connection of its own.
async fn exchange(front: SocketAddr, request: Request<Full<Bytes>>) -> Option<(u16, Value)> {
    let stream = TcpStream::connect(front).await.ok()?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    let driver = tokio::spawn(connection);
    let answer = sender.send_request(request).await.ok()?;
    let status = answer.status().as_u16();
    let body = Limited::new(answer.into_body(), ANSWER_BYTES_MAX);
    let body = body.collect().await.ok()?.to_bytes();
    driver.abort();
    Some((status, serde_json::from_slice(&body).unwrap_or(Value::Null)))
}

/// The text of a model replica that makes so many events.
pub fn expected_text(events: u64) -> String {
    let words: Vec<String> = (1..=events).map(|event| format!("word-{event}")).collect();
    words.join("\n")
}
