//! Decides whether the load balancer may send requests to this entry.
//!
//! An entry that knows the configuration but no replica refuses every request. This is the case
//! until the first probes are answered, and permanently with a wrong key. An entry becomes ready
//! when a listed agent has answered, or after a limited wait: if all agents are down, a refusal
//! that states its cause is more useful than an entry that the load balancer skips. If datagrams
//! of other processes arrived in the meantime and none was authentic, the key is wrong.

/// Maximum wait for the first answer of an agent, in milliseconds.
const AGENT_ANSWER_TIMEOUT_MS: u64 = 5_000;
/// Maximum wait for the first agent to be listed, in milliseconds.
const AGENT_LISTED_TIMEOUT_MS: u64 = 1_000;

/// Inputs of the decision.
#[derive(Clone, Copy, Debug, Default)]
pub struct Facts {
    /// The entry has read the configuration.
    pub configured: bool,
    /// The process is leaving.
    pub leaving: bool,
    /// Number of agents in the membership view.
    pub agents: usize,
    /// At least one agent has answered since the start.
    pub agent_answered: bool,
    /// At least one authentic datagram of another process was received.
    pub any_peer_answered: bool,
    /// Number of datagrams dropped because they were not authentic.
    pub datagrams_dropped: u64,
    /// Time since the start of the process, in milliseconds.
    pub uptime_ms: u64,
}

/// Whether the load balancer may send requests, and otherwise the reason.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Readiness {
    /// The load balancer may send requests.
    Ready,
    /// The process is leaving.
    Leaving,
    /// The entry has not read the configuration yet.
    Unconfigured,
    /// No agent has answered yet.
    NoAnswer,
    /// Datagrams of other processes arrived, but none was signed with a key of this entry.
    WrongKey,
}

impl Readiness {
    /// Decides from these inputs.
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
            0 => AGENT_LISTED_TIMEOUT_MS,
            _ => AGENT_ANSWER_TIMEOUT_MS,
        };
        if facts.uptime_ms < wait_ms {
            return Readiness::NoAnswer;
        }
        Readiness::Ready
    }

    /// Name in the status page and in log lines.
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
