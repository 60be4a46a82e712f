//! The interval before the next read of one topic.

/// How soon a process needs the next records.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Urgency {
    /// Nobody waits; records are wanted for the requests to come.
    Idle,
    /// A client waits for a record.
    Waiting,
    /// The process acts on the records: it runs items or gives orders.
    Acting,
}

/// How a read ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadOutcome {
    /// It brought records, and more are there.
    MoreAvailable,
    /// It brought records up to the end of the log.
    Records,
    /// It waited and brought nothing.
    Empty,
    /// The store refused it for its budget of calls.
    Throttled,
    /// It failed for another reason.
    Failed,
}

/// Intervals of one topic between reads that bring records, and the wait of one read.
#[derive(Clone, Copy, Debug)]
pub struct TopicPace {
    /// Interval of a process that acts on the records, in milliseconds.
    pub acting_ms: u64,
    /// Interval while a client waits, in milliseconds.
    pub waiting_ms: u64,
    /// Interval while nobody does, in milliseconds.
    pub idle_ms: u64,
    /// How long a read waits for a record, in milliseconds.
    pub wait_ms: u64,
    /// The same while nobody waits, in milliseconds.
    pub idle_wait_ms: u64,
}

/// Backoff after the first failed read, in milliseconds; doubles up to the greatest.
const BACKOFF_MS: u64 = 100;
/// Greatest backoff of a process that acts, or whose client waits, in milliseconds.
const BACKOFF_MS_MAX: u64 = 200;
/// Greatest backoff of an idle process, in milliseconds: below the second in which every process
/// must know of an accepted step.
const IDLE_BACKOFF_MS_MAX: u64 = 800;
/// Stretch of an idle process's interval, in hundredths: grows with each row of refusals for the
/// store's budget and shrinks with each read that comes through, so that a fleet finds by itself
/// how often each of its processes can read. A long row counts once, as a store may turn one
/// process away for seconds and have budget for all when it is back.
const STRETCH_MIN: u64 = 100;
const STRETCH_MAX: u64 = 300;
const STRETCH_MORE: u64 = 100;
const STRETCH_LESS: u64 = 10;
/// Jitter takes this share of an interval either way, in hundredths.
const JITTER_HUNDREDTHS: u64 = 25;

/// Pacing of one topic's reads.
#[derive(Debug)]
pub struct Pacer {
    pace: TopicPace,
    failed: u32,
    stretch_hundredths: u64,
}

impl Pacer {
    /// Nothing was read yet.
    pub fn new(pace: TopicPace) -> Self {
        Self {
            pace,
            failed: 0,
            stretch_hundredths: STRETCH_MIN,
        }
    }

    /// Reads that failed in a row.
    pub fn consecutive_failures(&self) -> u32 {
        self.failed
    }

    /// How long the next read may wait for a record at the store, in milliseconds.
    pub fn wait_ms(&self, urgency: Urgency) -> u64 {
        match urgency {
            Urgency::Idle => self.pace.idle_wait_ms,
            Urgency::Waiting | Urgency::Acting => self.pace.wait_ms,
        }
    }

    /// Notes how a read ended.
    pub fn record_outcome(&mut self, end: ReadOutcome) {
        let stretch = self.stretch_hundredths;
        self.stretch_hundredths = match end {
            ReadOutcome::Throttled if self.failed == 0 => (stretch + STRETCH_MORE).min(STRETCH_MAX),
            ReadOutcome::Throttled | ReadOutcome::Failed => stretch,
            _ => stretch.saturating_sub(STRETCH_LESS).max(STRETCH_MIN),
        };
        self.failed = match end {
            ReadOutcome::Throttled | ReadOutcome::Failed => self.failed.saturating_add(1),
            ReadOutcome::MoreAvailable | ReadOutcome::Records | ReadOutcome::Empty => 0,
        };
    }

    /// Interval until the next read, in milliseconds. `random` is drawn evenly for each interval.
    pub fn interval_ms(&self, end: ReadOutcome, urgency: Urgency, random: u64) -> u64 {
        let interval_ms = match end {
            ReadOutcome::MoreAvailable => 0,
            // The wait at the store was the interval of a process that needs its records soon.
            ReadOutcome::Empty if urgency != Urgency::Idle => 0,
            ReadOutcome::Empty | ReadOutcome::Records => match urgency {
                Urgency::Idle => self.pace.idle_ms * self.stretch_hundredths / 100,
                Urgency::Waiting => self.pace.waiting_ms,
                Urgency::Acting => self.pace.acting_ms,
            },
            ReadOutcome::Throttled | ReadOutcome::Failed => self.backoff_ms(urgency),
        };
        jittered(interval_ms, random)
    }

    fn backoff_ms(&self, urgency: Urgency) -> u64 {
        let greatest_ms = match urgency {
            Urgency::Idle => IDLE_BACKOFF_MS_MAX,
            Urgency::Waiting | Urgency::Acting => BACKOFF_MS_MAX,
        };
        let doublings = self.failed.saturating_sub(1).min(8);
        (BACKOFF_MS << doublings).min(greatest_ms)
    }
}

fn jittered(interval_ms: u64, random: u64) -> u64 {
    let span_ms = interval_ms * JITTER_HUNDREDTHS / 100;
    interval_ms - span_ms + random % (2 * span_ms + 1)
}
