//! The log service: streams of records with consecutive offsets. Each stream retains a limited
//! number of records.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use adapters::{LogPage, LogRecord};
use derive::value;
use serde::Serialize;
use tokio::sync::watch;
use tokio::time::{Instant, timeout_at};

use crate::error::StandinError;
use crate::handle::{Control, Handle};
use crate::http::{self, Call};
use crate::rate::{RETRY_AFTER_S, RateLimiter};
use crate::reply::{self, Reply};

const READ_RECORDS_MAX: u64 = 10_000;

/// Settings of the log.
#[value]
pub struct LogSettings {
    /// Address to listen on; with port 0 the system chooses the port.
    pub listen: SocketAddr,
    /// Records that each stream retains.
    pub keep_count: usize,
    /// Time that each append takes.
    pub append_ms: u64,
    /// Appends per second; 0 means no limit.
    pub appends_per_s: u64,
}

impl LogSettings {
    /// A log that retains 100 000 records per stream, without delay or rate limit.
    pub fn new(listen: SocketAddr) -> LogSettings {
        LogSettings {
            listen,
            keep_count: 100_000,
            append_ms: 0,
            appends_per_s: 0,
        }
    }
}

#[derive(Default)]
struct Stream {
    first: u64,
    records: VecDeque<Arc<str>>,
}

impl Stream {
    fn next(&self) -> u64 {
        self.first + self.records.len() as u64
    }

    fn append(&mut self, record: Arc<str>, keep_count: usize) -> u64 {
        let offset = self.next();
        self.records.push_back(record);
        while self.records.len() > keep_count {
            self.records.pop_front();
            self.first += 1;
        }
        offset
    }

    fn page(&self, from: u64, max: u64) -> LogPage {
        let start = from.max(self.first);
        let end = self.next().min(start.saturating_add(max));
        let record = |offset: u64| LogRecord {
            offset,
            data: self.records[(offset - self.first) as usize].to_string(),
        };
        LogPage {
            first: self.first,
            next: start.max(end),
            records: (start..end).map(record).collect(),
        }
    }
}

#[derive(Serialize)]
struct Appended {
    offset: u64,
}

struct Log {
    settings: LogSettings,
    rate: RateLimiter,
    streams: Mutex<BTreeMap<String, Stream>>,
    /// Counts appends, which wakes the reads that wait for records.
    appends: watch::Sender<u64>,
}

/// Starts a log on `settings.listen`.
pub async fn start(settings: LogSettings) -> Result<Handle, StandinError> {
    let listen = settings.listen;
    let log = Arc::new(Log {
        settings,
        rate: RateLimiter::new(),
        streams: Mutex::default(),
        appends: watch::channel(0).0,
    });
    http::serve(listen, Control::new(), false, move |call| {
        answer(log.clone(), call)
    })
    .await
}

async fn answer(log: Arc<Log>, call: Call) -> Reply {
    match call.route() {
        ("POST", parts) if parts.len() == 3 && parts[2] == "records" => {
            log.append(parts[1], &call).await
        }
        ("GET", parts) if parts.len() == 3 && parts[2] == "records" => {
            log.read(parts[1], &call).await
        }
        ("GET", parts) if parts == ["standin", "log"] => log.end_offsets(),
        _ => reply::error(404, "no-such-path"),
    }
}

impl Log {
    async fn append(&self, stream: &str, call: &Call) -> Reply {
        let Ok(record) = std::str::from_utf8(&call.body) else {
            return reply::error(400, "not-utf-8");
        };
        let per_s = self.settings.appends_per_s;
        if per_s > 0 && !self.rate.try_acquire(per_s) {
            return reply::error_with_retry_after(429, "rate", RETRY_AFTER_S);
        }
        tokio::time::sleep(Duration::from_millis(self.settings.append_ms)).await;
        let offset = self
            .lock()
            .entry(stream.to_owned())
            .or_default()
            .append(Arc::from(record), self.settings.keep_count);
        self.appends.send_modify(|count| *count += 1);
        reply::json(200, &Appended { offset })
    }

    async fn read(&self, stream: &str, call: &Call) -> Reply {
        let from = call.query_u64("from").unwrap_or(0);
        let max = call
            .query_u64("max")
            .unwrap_or(READ_RECORDS_MAX)
            .min(READ_RECORDS_MAX);
        let wait = Duration::from_millis(call.query_u64("wait_ms").unwrap_or(0));
        let deadline = Instant::now() + wait;
        let mut appends = self.appends.subscribe();
        loop {
            let page = self.page(stream, from, max);
            if !page.records.is_empty() {
                return reply::json(200, &page);
            }
            if timeout_at(deadline, appends.changed()).await.is_err() {
                return reply::json(200, &page);
            }
        }
    }

    fn page(&self, stream: &str, from: u64, max: u64) -> LogPage {
        let streams = self.lock();
        let empty = Stream::default();
        streams.get(stream).unwrap_or(&empty).page(from, max)
    }

    fn end_offsets(&self) -> Reply {
        let streams = self.lock();
        let end_offsets = streams.iter().map(|(name, stream)| (name, stream.next()));
        reply::json(200, &end_offsets.collect::<BTreeMap<_, _>>())
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<String, Stream>> {
        self.streams.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
