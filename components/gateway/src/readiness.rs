//! Whether the balancer may send requests to this entry.
//!
//! An entry that knows the configuration and no replica refuses every request. It begins
//! so, for as long as its first probes take, and stays so with a wrong key. It is ready
//! when one listed agent has answered; after a bounded wait it is ready without, as all
//! agents may be down and a refusal with a cause says more than a closed balancer. Where
//! others' datagrams came in the meantime and none was authentic, the key is wrong.

/// Longest wait for the first answer of an agent, in milliseconds.
const ANSWER_MS_MAX: u64 = 5_000;
/// How long an entry waits for the first agent to be listed, in milliseconds.
const LISTED_MS_MAX: u64 = 1_000;

/// What is known at a moment.
#[derive(Clone, Copy, Debug, Default)]
pub struct Facts {
    /// The configuration is known.
    pub configured: bool,
    /// The process is leaving.
    pub leaving: bool,
    /// Agents in the view.
    pub agents: usize,
    /// An agent has answered, now or earlier.
    pub agent_answered: bool,
    /// A process has been heard.
    pub any_peer_answered: bool,
    /// Datagrams that were not authentic.
    pub datagrams_dropped: u64,
    /// Since the start, in milliseconds.
    pub uptime_ms: u64,
}

/// Whether requests may come, and why not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Readiness {
    /// Requests may come.
    Ready,
    /// The process is leaving.
    Leaving,
    /// The configuration is not known.
    Unconfigured,
    /// No agent has answered yet.
    NoAnswer,
    /// Whatever came from others was not signed with a key of this entry.
    WrongKey,
}

impl Readiness {
    /// By these facts.
    pub fn from_facts(facts: &Facts) -> Readiness {
        if facts.leaving {
            return Readiness::Leaving;
        }
        if !facts.configured {
            return Readiness::Unconfigured;
        }
        if facts.agent_answered {
            return Readiness::Ready;
        }
        if facts.datagrams_dropped > 0 && !facts.any_peer_answered {
            return Readiness::WrongKey;
        }
        let wait_ms = match facts.agents {
            0 => LISTED_MS_MAX,
            _ => ANSWER_MS_MAX,
        };
        if facts.uptime_ms < wait_ms {
            return Readiness::NoAnswer;
        }
        Readiness::Ready
    }

    /// The word for it on the status page and in log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            Readiness::Ready => "ready",
            Readiness::Leaving => "leaving",
            Readiness::Unconfigured => "unconfigured",
            Readiness::NoAnswer => "no-answer",
            Readiness::WrongKey => "wrong-key",
        }
    }
}
