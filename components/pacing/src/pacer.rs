//! The interval before the next read of one topic.

/// How soon a process needs the next records, from the least urgent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Urgency {
    /// No client waits; records are read for later requests.
    Idle,
    /// A client waits for a record.
    Waiting,
    /// The process acts on the records: it runs items or gives orders.
    Acting,
}

/// How a read ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadOutcome {
    /// The read returned records, and the log has more.
    MoreAvailable,
    /// The read returned records up to the end of the log.
    Records,
    /// The read waited and returned no record.
    Empty,
    /// The store refused the read because the budget of calls is exceeded.
    Throttled,
    /// The read failed for another reason.
    Failed,
}

/// Intervals between the reads of one topic, and how long each read waits at the store.
#[derive(Clone, Copy, Debug)]
pub struct TopicPace {
    /// Interval for a process that acts on the records.
    pub acting_ms: u64,
    /// Interval while a client waits.
    pub waiting_ms: u64,
    /// Interval while no client waits.
    pub idle_ms: u64,
    /// How long a read waits for a record if the process needs records soon.
    pub wait_ms: u64,
    /// How long a read waits for a record if the process is idle.
    pub idle_wait_ms: u64,
}

/// Backoff after the first failed read; doubles with each further failure.
const BACKOFF_INITIAL_MS: u64 = 100;
/// Longest backoff of a process that acts on the records or whose client waits.
const BACKOFF_MS_MAX: u64 = 200;
/// Longest backoff of an idle process. It is shorter than the second within which every process
/// must know of an accepted step.
const IDLE_BACKOFF_MS_MAX: u64 = 800;
/// Factor on an idle process's interval, in hundredths. It grows with the first of several
/// consecutive refusals for exceeding the store's budget and shrinks with each successful read, so
/// that the processes of a fleet converge on a rate that the store can serve. Consecutive refusals
/// count once because a store may refuse one process for seconds and have budget for all processes
/// after that.
const STRETCH_HUNDREDTHS_MIN: u64 = 100;
const STRETCH_HUNDREDTHS_MAX: u64 = 300;
const STRETCH_INCREASE_HUNDREDTHS: u64 = 100;
const STRETCH_DECREASE_HUNDREDTHS: u64 = 10;
/// Largest jitter in either direction, in hundredths of the interval.
const JITTER_HUNDREDTHS: u64 = 25;

/// Paces the reads of one topic.
#[derive(Debug)]
pub struct Pacer {
    pace: TopicPace,
    consecutive_failures: u32,
    stretch_hundredths: u64,
}

impl Pacer {
    /// Creates a pacer for a topic that has not been read yet.
    pub fn new(pace: TopicPace) -> Self {
        Self {
            pace,
            consecutive_failures: 0,
            stretch_hundredths: STRETCH_HUNDREDTHS_MIN,
        }
    }

    /// Number of reads that have failed in a row.
    pub fn consecutive_failures(&self) -> u32 {
        self.consecutive_failures
    }

    /// How long the next read may wait for a record at the store.
    pub fn wait_ms(&self, urgency: Urgency) -> u64 {
        match urgency {
            Urgency::Idle => self.pace.idle_wait_ms,
            Urgency::Waiting | Urgency::Acting => self.pace.wait_ms,
        }
    }

    /// Records how a read ended.
    pub fn record_outcome(&mut self, outcome: ReadOutcome) {
        let stretch = self.stretch_hundredths;
        self.stretch_hundredths = match outcome {
            ReadOutcome::Throttled if self.consecutive_failures == 0 => {
                (stretch + STRETCH_INCREASE_HUNDREDTHS).min(STRETCH_HUNDREDTHS_MAX)
            }
            ReadOutcome::Throttled | ReadOutcome::Failed => stretch,
            _ => stretch
                .saturating_sub(STRETCH_DECREASE_HUNDREDTHS)
                .max(STRETCH_HUNDREDTHS_MIN),
        };
        self.consecutive_failures = match outcome {
            ReadOutcome::Throttled | ReadOutcome::Failed => {
                self.consecutive_failures.saturating_add(1)
            }
            ReadOutcome::MoreAvailable | ReadOutcome::Records | ReadOutcome::Empty => 0,
        };
    }

    /// Interval between a read that ended with `outcome` and the next one. `random` is a uniformly
    /// distributed random number, drawn anew for each interval.
    pub fn interval_ms(&self, outcome: ReadOutcome, urgency: Urgency, random: u64) -> u64 {
        let interval_ms = match outcome {
            ReadOutcome::MoreAvailable => 0,
            // For a process that needs records soon, the wait at the store has replaced the
            // interval.
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
        let backoff_ms_max = match urgency {
            Urgency::Idle => IDLE_BACKOFF_MS_MAX,
            Urgency::Waiting | Urgency::Acting => BACKOFF_MS_MAX,
        };
        let doublings = self.consecutive_failures.saturating_sub(1).min(8);
        (BACKOFF_INITIAL_MS << doublings).min(backoff_ms_max)
    }
}

fn jittered(interval_ms: u64, random: u64) -> u64 {
    let span_ms = interval_ms * JITTER_HUNDREDTHS / 100;
    interval_ms - span_ms + random % (2 * span_ms + 1)
}
