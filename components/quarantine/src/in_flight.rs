//! The calls that this process has at endpoints, now or a moment ago.

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::net::SocketAddr;

use derive::value;

use crate::{CallDigest, RunId};

/// One attempt of one call.
#[value]
pub(crate) struct Run {
    pub(crate) digest: CallDigest,
    pub(crate) endpoint: SocketAddr,
    /// The crash that ended it, once that is known.
    pub(crate) crash: Option<u64>,
}

impl Run {
    fn is_running_at(&self, endpoint: SocketAddr) -> bool {
        self.endpoint == endpoint && self.crash.is_none()
    }
}

/// A run that ended without an answer and without a crash that was known of.
#[value]
struct Left {
    digest: CallDigest,
    endpoint: SocketAddr,
    at_ms: u64,
}

/// Runs of one call at once.
#[value]
#[derive(Default)]
struct Siblings {
    /// One for each run.
    endpoints: Vec<SocketAddr>,
    /// One of them came whole.
    whole: bool,
}

/// The runs of this process.
#[derive(Clone, Debug)]
pub(crate) struct InFlight {
    /// How long a run that left counts as there, in milliseconds.
    left_ms: u64,
    runs: HashMap<RunId, Run>,
    siblings: HashMap<CallDigest, Siblings>,
    left: VecDeque<Left>,
    next_number: u64,
}

impl InFlight {
    /// Nothing is in flight; a run that left counts as there for `left_ms`.
    pub(crate) fn new(left_ms: u64) -> Self {
        Self {
            left_ms,
            runs: HashMap::new(),
            siblings: HashMap::new(),
            left: VecDeque::new(),
            next_number: 0,
        }
    }

    /// A call goes to an endpoint.
    pub(crate) fn start(&mut self, digest: CallDigest, endpoint: SocketAddr) -> RunId {
        self.next_number += 1;
        let run = RunId(self.next_number);
        let started = Run {
            digest,
            endpoint,
            crash: None,
        };
        self.runs.insert(run, started);
        let siblings = self.siblings.entry(digest).or_default();
        siblings.endpoints.push(endpoint);
        run
    }

    pub(crate) fn run(&self, run: RunId) -> Option<&Run> {
        self.runs.get(&run)
    }

    /// A run is over.
    pub(crate) fn remove(&mut self, run: RunId) -> Option<Run> {
        let ended = self.runs.remove(&run)?;
        if let Some(siblings) = self.siblings.get_mut(&ended.digest) {
            let at = siblings.endpoints.iter().position(|&e| e == ended.endpoint);
            at.map(|at| siblings.endpoints.swap_remove(at));
            if siblings.endpoints.is_empty() {
                self.siblings.remove(&ended.digest);
            }
        }
        Some(ended)
    }

    /// A run had its whole answer; gives its digest, whose earlier runs are forgotten.
    pub(crate) fn complete(&mut self, run: RunId) -> Option<CallDigest> {
        let digest = self.remove(run)?.digest;
        self.left.retain(|left| left.digest != digest);
        if let Some(siblings) = self.siblings.get_mut(&digest) {
            siblings.whole = true;
        }
        Some(digest)
    }

    /// A run ended without an answer; it counts as there for a moment more, unless a crash
    /// ended it.
    pub(crate) fn leave(&mut self, run: RunId, now_ms: u64) {
        self.forget_left(now_ms);
        let ended = self.remove(run).filter(|run| run.crash.is_none());
        self.left.extend(ended.map(|run| Left {
            digest: run.digest,
            endpoint: run.endpoint,
            at_ms: now_ms,
        }));
    }

    /// All runs at the endpoint ended with this crash.
    pub(crate) fn crashed(&mut self, endpoint: SocketAddr, crash: u64) {
        self.left.retain(|left| left.endpoint != endpoint);
        let runs = self.runs.values_mut();
        for run in runs.filter(|run| run.is_running_at(endpoint)) {
            run.crash = Some(crash);
        }
    }

    /// Whether a call runs at any endpoint.
    pub(crate) fn has(&self, digest: CallDigest) -> bool {
        self.runs
            .values()
            .any(|run| run.digest == digest && run.crash.is_none())
    }

    /// Endpoints that a call may be about to crash: those where it runs, or which it left a
    /// moment ago. None once one of the runs that are left came whole.
    pub(crate) fn at_risk(&self, digest: CallDigest, now_ms: u64) -> BTreeSet<SocketAddr> {
        let siblings = self.siblings.get(&digest);
        if siblings.is_some_and(|siblings| siblings.whole) {
            return BTreeSet::new();
        }
        let running = siblings
            .into_iter()
            .flat_map(|s| s.endpoints.iter().copied());
        let left = self.left.iter().filter(|left| left.digest == digest);
        let left = left.filter(|left| left.at_ms + self.left_ms > now_ms);
        running.chain(left.map(|left| left.endpoint)).collect()
    }

    /// Calls that run at an endpoint.
    pub(crate) fn running_at(&self, endpoint: SocketAddr) -> impl Iterator<Item = CallDigest> {
        let runs = self.runs.values();
        let running = runs.filter(move |run| run.is_running_at(endpoint));
        running.map(|run| run.digest)
    }

    /// Calls that run at an endpoint or left it a moment ago.
    pub(crate) fn known_at(&self, endpoint: SocketAddr, now_ms: u64) -> BTreeSet<CallDigest> {
        let is_there =
            |left: &&Left| left.endpoint == endpoint && left.at_ms + self.left_ms > now_ms;
        let left = self.left.iter().filter(is_there);
        let running = self.running_at(endpoint);
        running.chain(left.map(|left| left.digest)).collect()
    }

    fn forget_left(&mut self, now_ms: u64) {
        while let Some(left) = self.left.front()
            && left.at_ms + self.left_ms <= now_ms
        {
            self.left.pop_front();
        }
    }
}
