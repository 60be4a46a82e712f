//! Counts the outcomes of the requests of a slice and checks them against the runs that the plain
//! services counted.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use derive::value;
use types::Class;

use crate::latencies::Latencies;
use crate::reply::{Ending, Reply};

/// Key by which requests are grouped in the tables.
#[value]
#[derive(PartialOrd, Ord)]
pub struct Label {
    /// Customer that sends the requests.
    pub customer: String,
    /// Class of the requests.
    pub class: Class,
    /// Kind of call: a title from the site, or `completion`.
    pub kind: &'static str,
}

/// Outcome of one request.
pub enum Event {
    /// The load generator did not send the request: too many were in progress.
    NotOffered(Arc<Label>),
    /// The request ended.
    Ended {
        /// Group in which the request is counted.
        label: Arc<Label>,
        /// Time from the moment when the request was due until its end.
        latency: Duration,
        /// Whether the latency is within the caller's deadline.
        within_deadline: bool,
        /// Name by which the services count its runs; `None` if it may run several times.
        tag: Option<String>,
        /// Number of times that its caller sent it.
        attempts: u32,
        /// Answer to the last attempt.
        reply: Reply,
    },
}

/// Counts of one group of requests.
#[derive(Clone, Debug, Default)]
pub struct Sums {
    /// Latencies of requests with a complete answer.
    pub latencies: Latencies,
    /// Number of requests by ending.
    pub endings: BTreeMap<Ending, u64>,
    /// Number of requests without a complete answer, by ending and cause separated by a blank.
    pub causes: BTreeMap<String, u64>,
    /// Number of complete answers within the deadline.
    pub within_deadline: u64,
    /// Number of requests that the load generator did not send.
    pub not_offered: u64,
    /// Number of attempts beyond each request's first.
    pub retries: u64,
}

impl Sums {
    /// Number of requests that were sent.
    pub fn request_count(&self) -> u64 {
        self.endings.values().sum()
    }

    /// Number of requests with this ending.
    pub fn count_of(&self, ending: Ending) -> u64 {
        self.endings.get(&ending).copied().unwrap_or(0)
    }

    /// Adds the counts of another slice.
    pub fn add(&mut self, other: &Sums) {
        self.latencies.merge(&other.latencies);
        for (ending, count) in &other.endings {
            *self.endings.entry(*ending).or_default() += count;
        }
        for (cause, count) in &other.causes {
            *self.causes.entry(cause.clone()).or_default() += count;
        }
        self.within_deadline += other.within_deadline;
        self.not_offered += other.not_offered;
        self.retries += other.retries;
    }
}

/// Counts of all groups, and the endings of the calls that may run at most once.
#[derive(Default)]
pub struct Tally {
    /// Counts by group.
    pub sums: BTreeMap<Label, Sums>,
    /// Last ending of each call that may run at most once, by its tag.
    pub at_most_once: BTreeMap<String, Ending>,
}

impl Tally {
    /// Counts the outcome of a request.
    pub fn record(&mut self, event: Event) {
        match event {
            Event::NotOffered(label) => self.sums_of(&label).not_offered += 1,
            Event::Ended {
                label,
                latency,
                within_deadline,
                tag,
                attempts,
                reply,
            } => {
                if let Some(tag) = tag {
                    self.at_most_once.insert(tag, reply.ending);
                }
                let sums = self.sums_of(&label);
                *sums.endings.entry(reply.ending).or_default() += 1;
                sums.retries += u64::from(attempts.saturating_sub(1));
                if reply.ending == Ending::Whole {
                    sums.latencies.record(latency);
                    sums.within_deadline += u64::from(within_deadline);
                } else {
                    let cause = format!("{} {}", reply.ending.as_str(), reply.cause);
                    *sums.causes.entry(cause).or_default() += 1;
                }
            }
        }
    }

    fn sums_of(&mut self, label: &Label) -> &mut Sums {
        self.sums.entry(label.clone()).or_default()
    }
}

/// Violations of the guarantee that a call with an idempotency key runs at most once, found by
/// comparing the answers with the runs that the plain services counted.
#[value]
#[derive(Default)]
pub struct Guarantees {
    /// Number of calls that may run at most once.
    pub at_most_once_calls: u64,
    /// Number of these calls that ran more than once.
    pub ran_twice: u64,
    /// Number of these calls that were refused as not run although they ran.
    pub refused_and_ran: u64,
    /// Number of these calls that were answered completely although they did not run.
    pub answered_and_not_run: u64,
}

impl Guarantees {
    /// Compares the ending of each call with its number of runs, both by tag.
    pub fn check(endings: &BTreeMap<String, Ending>, runs: &BTreeMap<String, u64>) -> Guarantees {
        let mut guarantees = Guarantees::default();
        for (tag, ending) in endings {
            let ran = runs.get(tag).copied().unwrap_or(0);
            guarantees.at_most_once_calls += 1;
            guarantees.ran_twice += u64::from(ran > 1);
            guarantees.refused_and_ran += u64::from(*ending == Ending::NotRun && ran > 0);
            guarantees.answered_and_not_run += u64::from(*ending == Ending::Whole && ran == 0);
        }
        guarantees
    }

    /// Whether no violation was found.
    pub fn hold(&self) -> bool {
        self.ran_twice + self.refused_and_ran + self.answered_and_not_run == 0
    }

    /// Adds the counts of another slice.
    pub fn add(&mut self, other: &Guarantees) {
        self.at_most_once_calls += other.at_most_once_calls;
        self.ran_twice += other.ran_twice;
        self.refused_and_ran += other.refused_and_ran;
        self.answered_and_not_run += other.answered_and_not_run;
    }
}
