//! Adds up what became of the requests of a slice.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use derive::value;
use types::Class;

use crate::latencies::Latencies;
use crate::reply::{Ending, Reply};

/// What requests are told apart by.
#[value]
#[derive(PartialOrd, Ord)]
pub struct Label {
    /// Customer that asks.
    pub customer: String,
    /// Class.
    pub class: Class,
    /// Kind of call.
    pub what: &'static str,
}

/// What became of one request.
pub enum Event {
    /// The generator had too many under way.
    NotOffered(Arc<Label>),
    /// It ended.
    Ended {
        /// Whose and what.
        label: Arc<Label>,
        /// Time since it was due.
        took: Duration,
        /// Whether that is within the caller's deadline.
        in_time: bool,
        /// Name by which its runs are counted, if it may run once only.
        tag: Option<String>,
        /// Times that its caller sent it.
        sent: u32,
        /// The last answer.
        reply: Reply,
    },
}

/// Sums of one label.
#[derive(Clone, Debug, Default)]
pub struct Sums {
    /// Latencies of whole answers.
    pub latencies: Latencies,
    /// Requests by their ending.
    pub endings: BTreeMap<Ending, u64>,
    /// Requests without a whole answer by `ending cause`.
    pub causes: BTreeMap<String, u64>,
    /// Whole answers within the deadline.
    pub good: u64,
    /// Requests that the generator did not offer.
    pub not_offered: u64,
    /// Submissions beyond the first.
    pub sent_again: u64,
}

impl Sums {
    /// Requests in all.
    pub fn requests(&self) -> u64 {
        self.endings.values().sum()
    }

    /// Requests with this ending.
    pub fn ended(&self, ending: Ending) -> u64 {
        self.endings.get(&ending).copied().unwrap_or(0)
    }

    /// Adds other sums.
    pub fn add(&mut self, other: &Sums) {
        self.latencies.add(&other.latencies);
        for (ending, count) in &other.endings {
            *self.endings.entry(*ending).or_default() += count;
        }
        for (cause, count) in &other.causes {
            *self.causes.entry(cause.clone()).or_default() += count;
        }
        self.good += other.good;
        self.not_offered += other.not_offered;
        self.sent_again += other.sent_again;
    }
}

/// Sums of all labels, and the calls that may run once.
#[derive(Default)]
pub struct Tally {
    /// Sums by label.
    pub sums: BTreeMap<Label, Sums>,
    /// Last ending of each call that may run once, by its name.
    pub once: BTreeMap<String, Ending>,
}

impl Tally {
    /// Counts an event.
    pub fn take(&mut self, event: Event) {
        match event {
            Event::NotOffered(label) => self.of(&label).not_offered += 1,
            Event::Ended {
                label,
                took,
                in_time,
                tag,
                sent,
                reply,
            } => {
                if let Some(tag) = tag {
                    self.once.insert(tag, reply.ending);
                }
                let sums = self.of(&label);
                *sums.endings.entry(reply.ending).or_default() += 1;
                sums.sent_again += u64::from(sent.saturating_sub(1));
                if reply.ending == Ending::Whole {
                    sums.latencies.record(took);
                    sums.good += u64::from(in_time);
                } else {
                    let cause = format!("{} {}", reply.ending.as_str(), reply.cause);
                    *sums.causes.entry(cause).or_default() += 1;
                }
            }
        }
    }

    fn of(&mut self, label: &Label) -> &mut Sums {
        self.sums.entry(label.clone()).or_default()
    }
}

/// What the runs counted at the plain services say about the promises.
#[value]
#[derive(Default)]
pub struct Promises {
    /// Calls that may run once.
    pub once_calls: u64,
    /// Of these, how many ran more than once.
    pub ran_twice: u64,
    /// Of these, how many were refused as not run and ran.
    pub refused_and_ran: u64,
    /// Of these, how many were answered whole and did not run.
    pub answered_and_not_run: u64,
}

impl Promises {
    /// Holds endings against counted runs.
    pub fn judge(once: &BTreeMap<String, Ending>, runs: &BTreeMap<String, u64>) -> Promises {
        let mut promises = Promises::default();
        for (tag, ending) in once {
            let ran = runs.get(tag).copied().unwrap_or(0);
            promises.once_calls += 1;
            promises.ran_twice += u64::from(ran > 1);
            promises.refused_and_ran += u64::from(*ending == Ending::NotRun && ran > 0);
            promises.answered_and_not_run += u64::from(*ending == Ending::Whole && ran == 0);
        }
        promises
    }

    /// Whether none is broken.
    pub fn hold(&self) -> bool {
        self.ran_twice + self.refused_and_ran + self.answered_and_not_run == 0
    }

    /// Adds others.
    pub fn add(&mut self, other: &Promises) {
        self.once_calls += other.once_calls;
        self.ran_twice += other.ran_twice;
        self.refused_and_ran += other.refused_and_ran;
        self.answered_and_not_run += other.answered_and_not_run;
    }
}
