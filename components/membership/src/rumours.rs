//! Epidemic spread of small facts.
//!
//! A process that hears something new pushes it to `fan_out` random peers in each of a
//! few rounds and then falls silent about it (infect and decay). Besides, every process
//! sends one random peer some of all that it knows, in turn, so that one that missed a
//! rumour or came later is told in time. Of two pieces of news about one thing the
//! higher stays, so that order, loss and repetition do no harm.
//!
//! Cost: at most `fan_out` datagrams of `datagram_bytes_max` a round while there is
//! news, one in `idle_rounds` rounds else; see [`RumourSettings::bytes_per_s_max`]. It
//! grows with the news, not with the number of processes; the rounds grow with its
//! logarithm.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use derive::value;
use protocol::GossipMessage;
use rand::Rng;

use crate::fact::{Fact, Topic, merge_known, size_bytes, topic_of};
use crate::rumour_settings::RumourSettings;

/// UDP and IP headers, sender and authentication of a datagram, in bytes.
const OVERHEAD_BYTES: usize = 120;

/// What to send now.
#[value]
pub struct RumourRound {
    /// To whom, each the same datagram.
    pub targets: Vec<SocketAddr>,
    /// What.
    pub news: Vec<GossipMessage>,
}

/// All facts that this process knows and passes on.
#[derive(Clone, Debug)]
pub struct Rumours {
    settings: RumourSettings,
    facts: BTreeMap<Topic, Fact>,
    /// The last fact that was told without being news.
    last_filled: Option<Topic>,
    next_round_ms: u64,
    idle_rounds: u64,
}

impl Rumours {
    /// Knows nothing yet.
    pub fn new(settings: RumourSettings) -> Self {
        Self {
            settings,
            facts: BTreeMap::new(),
            last_filled: None,
            next_round_ms: 0,
            idle_rounds: 0,
        }
    }

    /// Takes in a fact, from a peer or of one's own; true when it is new, so that the
    /// caller acts on it. Probes, statuses and the like are never new.
    pub fn add(&mut self, news: &GossipMessage, peers: usize, now_ms: u64) -> bool {
        let Some(topic) = topic_of(news) else {
            return false;
        };
        let ends_ms = self.expiry_ms(news, now_ms);
        if ends_ms.is_some_and(|ends_ms| ends_ms <= now_ms) {
            return false;
        }
        let mut news = news.clone();
        if let Some(known) = self.facts.get(&topic) {
            news = merge_known(news, &known.news);
            if !self.supersedes(&news, ends_ms, known) {
                return false;
            }
        }
        let fact = Fact {
            news,
            pushes_left: self.settings.push_rounds(peers),
            expires_ms: ends_ms,
        };
        self.facts.insert(topic, fact);
        self.evict();
        true
    }

    /// Everything known, for a peer that starts.
    pub fn known_news(&self, now_ms: u64) -> impl Iterator<Item = GossipMessage> {
        let facts = self.facts.values();
        facts.filter_map(move |fact| fact.news_at(now_ms))
    }

    /// When the next round is due.
    pub fn next_round_ms(&self) -> u64 {
        self.next_round_ms
    }

    /// One round; `None` when it is not due or there is nothing to tell.
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
        let (mut news, mut bytes) = self.take_pushes(now_ms);
        let fan_out = if news.is_empty() {
            self.idle_rounds += 1;
            usize::from(self.idle_rounds.is_multiple_of(self.settings.idle_rounds))
        } else {
            self.settings.fan_out
        };
        if fan_out == 0 {
            return None;
        }
        self.fill_datagram(&mut news, &mut bytes, now_ms);
        let targets = draw_peers(peers, fan_out, rng);
        Some(RumourRound { targets, news })
    }

    /// The news with the most pushes left, as much as fits.
    fn take_pushes(&mut self, now_ms: u64) -> (Vec<GossipMessage>, usize) {
        let room_bytes = self.settings.datagram_bytes_max;
        let mut bytes = OVERHEAD_BYTES;
        let mut news = Vec::new();
        let mut hot: Vec<&mut Fact> = self
            .facts
            .values_mut()
            .filter(|fact| fact.pushes_left > 0)
            .collect();
        hot.sort_by_key(|fact| std::cmp::Reverse(fact.pushes_left));
        for fact in hot {
            let size_bytes = size_bytes(&fact.news);
            if bytes + size_bytes > room_bytes {
                break;
            }
            bytes += size_bytes;
            fact.pushes_left -= 1;
            news.extend(fact.news_at(now_ms));
        }
        (news, bytes)
    }

    /// Fills the datagram with known facts in turn.
    fn fill_datagram(&mut self, news: &mut Vec<GossipMessage>, bytes: &mut usize, now_ms: u64) {
        let room_bytes = self.settings.datagram_bytes_max;
        let after = self.last_filled.take();
        let later = self
            .facts
            .iter()
            .filter(|(topic, _)| Some(*topic) > after.as_ref());
        let sooner = self
            .facts
            .iter()
            .filter(|(topic, _)| Some(*topic) <= after.as_ref());
        for (topic, fact) in later.chain(sooner) {
            let size_bytes = size_bytes(&fact.news);
            if *bytes + size_bytes > room_bytes {
                break;
            }
            self.last_filled = Some(topic.clone());
            let told = fact.news_at(now_ms).filter(|told| !news.contains(told));
            *bytes += told.as_ref().map_or(0, |_| size_bytes);
            news.extend(told);
        }
    }

    fn expiry_ms(&self, news: &GossipMessage, now_ms: u64) -> Option<u64> {
        match news {
            GossipMessage::Quarantined { left_ms, .. } => Some(now_ms + u64::from(*left_ms)),
            GossipMessage::Leaving { .. } => Some(now_ms + self.settings.leaving_retention_ms),
            _ => None,
        }
    }

    fn supersedes(&self, news: &GossipMessage, ends_ms: Option<u64>, known: &Fact) -> bool {
        match (news, &known.news) {
            (GossipMessage::Config(heard), GossipMessage::Config(known)) => {
                heard.version > known.version
            }
            (
                GossipMessage::Weights { target, .. },
                GossipMessage::Weights { target: known, .. },
            ) => target != known,
            (GossipMessage::Leaving { node }, GossipMessage::Leaving { node: known }) => {
                node.incarnation > known.incarnation
            }
            (GossipMessage::Quarantined { .. }, _) => {
                // Each hop adds its transit time to the end; without slack one
                // quarantine would be news for ever and never end.
                let known_ms = known.expires_ms.unwrap_or(0) + self.settings.quarantine_slack_ms;
                ends_ms > Some(known_ms)
            }
            _ => false,
        }
    }

    fn remove_expired(&mut self, now_ms: u64) {
        self.facts
            .retain(|_, fact| fact.expires_ms.is_none_or(|ends_ms| ends_ms > now_ms));
    }

    fn evict(&mut self) {
        if self.facts.len() <= self.settings.facts_max {
            return;
        }
        let ending = self.facts.iter().filter_map(|(topic, fact)| {
            let ends_ms = fact.expires_ms?;
            Some((ends_ms, topic))
        });
        let first = ending.min().map(|(_, topic)| topic.clone());
        if let Some(first) = first {
            self.facts.remove(&first);
        }
    }
}

fn draw_peers(peers: &[SocketAddr], count: usize, rng: &mut impl Rng) -> Vec<SocketAddr> {
    let mut left: Vec<SocketAddr> = peers.to_vec();
    let mut drawn = Vec::with_capacity(count);
    while drawn.len() < count && !left.is_empty() {
        let position = rng.next_u64() % left.len() as u64;
        drawn.push(left.swap_remove(position as usize));
    }
    drawn
}
