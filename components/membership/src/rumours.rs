//! Epidemic spread of small facts (rumour mongering).
//!
//! A process that receives a new fact pushes it to `fan_out` random peers in each of a few rounds
//! and then stops. In addition, every process sends known facts to one random peer, in rotation, so
//! that a process that missed a fact or started later receives it eventually. Of two messages on
//! one topic the higher one is kept, so reordering, loss and duplication do no harm.
//!
//! Cost: at most `fan_out` datagrams of `datagram_bytes_max` per round while there is something
//! new, otherwise one datagram per `idle_rounds` rounds; see [`RumourSettings::bytes_per_s_max`].
//! The traffic grows with the number of new facts, not with the number of processes; the number of
//! rounds grows with the logarithm of the number of processes.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use derive::value;
use protocol::GossipMessage;
use rand::Rng;

use crate::fact::{Fact, Topic, merge_known, size_bytes, topic_of};
use crate::rumour_settings::RumourSettings;

/// Size of a datagram's UDP and IP headers, sender and authentication, in bytes.
const OVERHEAD_BYTES: usize = 120;

/// Datagram that a process sends in one round of gossip, the same to each of its targets.
#[value]
pub struct RumourRound {
    /// Peers that receive the datagram.
    pub targets: Vec<SocketAddr>,
    /// Messages in the datagram.
    pub messages: Vec<GossipMessage>,
}

/// The facts that this process knows and gossips.
#[derive(Clone, Debug)]
pub struct Rumours {
    settings: RumourSettings,
    facts: BTreeMap<Topic, Fact>,
    /// Topic of the last fact that filled up a datagram without being new; the rotation continues
    /// after it.
    last_filled: Option<Topic>,
    next_round_ms: u64,
    idle_rounds: u64,
}

impl Rumours {
    /// Creates a state without facts.
    pub fn new(settings: RumourSettings) -> Self {
        Self {
            settings,
            facts: BTreeMap::new(),
            last_filled: None,
            next_round_ms: 0,
            idle_rounds: 0,
        }
    }

    /// Adds a fact from a peer or from this process. Returns whether it is new, so that the caller
    /// acts on it. Probes, statuses and other messages that are not gossiped are never new.
    pub fn add(&mut self, message: &GossipMessage, peers: usize, now_ms: u64) -> bool {
        let Some(topic) = topic_of(message) else {
            return false;
        };
        let expires_ms = self.expiry_ms(message, now_ms);
        if expires_ms.is_some_and(|expires_ms| expires_ms <= now_ms) {
            return false;
        }
        let mut message = message.clone();
        if let Some(known) = self.facts.get(&topic) {
            message = merge_known(message, &known.message);
            if !self.supersedes(&message, expires_ms, known) {
                return false;
            }
        }
        let fact = Fact {
            message,
            pushes_left: self.settings.push_rounds(peers),
            expires_ms,
        };
        self.facts.insert(topic, fact);
        self.evict();
        true
    }

    /// All facts that have not expired, for a peer that has just started.
    pub fn known_messages(&self, now_ms: u64) -> impl Iterator<Item = GossipMessage> {
        let facts = self.facts.values();
        facts.filter_map(move |fact| fact.message_at(now_ms))
    }

    /// Time at which the next round is due.
    pub fn next_round_ms(&self) -> u64 {
        self.next_round_ms
    }

    /// Starts a round; `None` if it is not due or there is nothing to send.
    pub fn start_round(
        &mut self,
        peers: &[SocketAddr],
        now_ms: u64,
        rng: &mut impl Rng,
    ) -> Option<RumourRound> {
        if now_ms < self.next_round_ms || peers.is_empty() {
            return None;
        }
        self.next_round_ms = now_ms + self.settings.round_interval_ms;
        self.remove_expired(now_ms);
        let (mut messages, mut bytes) = self.take_pushes(now_ms);
        let fan_out = if messages.is_empty() {
            self.idle_rounds += 1;
            usize::from(self.idle_rounds.is_multiple_of(self.settings.idle_rounds))
        } else {
            self.settings.fan_out
        };
        if fan_out == 0 {
            return None;
        }
        self.fill_datagram(&mut messages, &mut bytes, now_ms);
        let targets = draw_peers(peers, fan_out, rng);
        Some(RumourRound { targets, messages })
    }

    /// Takes the facts with the most pushes left, as many as fit into a datagram. Also returns the
    /// size in bytes.
    fn take_pushes(&mut self, now_ms: u64) -> (Vec<GossipMessage>, usize) {
        let room_bytes = self.settings.datagram_bytes_max;
        let mut bytes = OVERHEAD_BYTES;
        let mut messages = Vec::new();
        let mut pushable: Vec<&mut Fact> = self
            .facts
            .values_mut()
            .filter(|fact| fact.pushes_left > 0)
            .collect();
        pushable.sort_by_key(|fact| std::cmp::Reverse(fact.pushes_left));
        for fact in pushable {
            let size_bytes = size_bytes(&fact.message);
            if bytes + size_bytes > room_bytes {
                break;
            }
            bytes += size_bytes;
            fact.pushes_left -= 1;
            messages.extend(fact.message_at(now_ms));
        }
        (messages, bytes)
    }

    /// Fills the rest of the datagram with known facts, in rotation.
    fn fill_datagram(&mut self, messages: &mut Vec<GossipMessage>, bytes: &mut usize, now_ms: u64) {
        let room_bytes = self.settings.datagram_bytes_max;
        let after = self.last_filled.take();
        let later = self
            .facts
            .iter()
            .filter(|(topic, _)| Some(*topic) > after.as_ref());
        let before = self
            .facts
            .iter()
            .filter(|(topic, _)| Some(*topic) <= after.as_ref());
        for (topic, fact) in later.chain(before) {
            let size_bytes = size_bytes(&fact.message);
            if *bytes + size_bytes > room_bytes {
                break;
            }
            self.last_filled = Some(topic.clone());
            let message = fact
                .message_at(now_ms)
                .filter(|message| !messages.contains(message));
            *bytes += message.as_ref().map_or(0, |_| size_bytes);
            messages.extend(message);
        }
    }

    fn expiry_ms(&self, message: &GossipMessage, now_ms: u64) -> Option<u64> {
        match message {
            GossipMessage::Quarantined { left_ms, .. } => Some(now_ms + u64::from(*left_ms)),
            GossipMessage::Leaving { .. } => Some(now_ms + self.settings.leaving_retention_ms),
            _ => None,
        }
    }

    fn supersedes(&self, message: &GossipMessage, expires_ms: Option<u64>, known: &Fact) -> bool {
        match (message, &known.message) {
            (GossipMessage::Config(received), GossipMessage::Config(known)) => {
                received.version > known.version
            }
            (
                GossipMessage::Weights { target, .. },
                GossipMessage::Weights { target: known, .. },
            ) => target != known,
            (GossipMessage::Leaving { node }, GossipMessage::Leaving { node: known }) => {
                node.incarnation > known.incarnation
            }
            (GossipMessage::Quarantined { .. }, _) => {
                // Each hop adds its transit time to the end. Without a tolerance, one quarantine
                // would be new again and again and never end.
                let known_ms = known.expires_ms.unwrap_or(0) + self.settings.quarantine_slack_ms;
                expires_ms > Some(known_ms)
            }
            _ => false,
        }
    }

    fn remove_expired(&mut self, now_ms: u64) {
        self.facts
            .retain(|_, fact| fact.expires_ms.is_none_or(|expires_ms| expires_ms > now_ms));
    }

    fn evict(&mut self) {
        if self.facts.len() <= self.settings.facts_max {
            return;
        }
        let expiring = self.facts.iter().filter_map(|(topic, fact)| {
            let expires_ms = fact.expires_ms?;
            Some((expires_ms, topic))
        });
        let first = expiring.min().map(|(_, topic)| topic.clone());
        if let Some(first) = first {
            self.facts.remove(&first);
        }
    }
}

fn draw_peers(peers: &[SocketAddr], count: usize, rng: &mut impl Rng) -> Vec<SocketAddr> {
    let mut remaining: Vec<SocketAddr> = peers.to_vec();
    let mut drawn = Vec::with_capacity(count);
    while drawn.len() < count && !remaining.is_empty() {
        let position = rng.next_u64() % remaining.len() as u64;
        drawn.push(remaining.swap_remove(position as usize));
    }
    drawn
}
