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
use protocol::News;
use rand::Rng;
use types::{CustomerName, ServiceName};

/// UDP and IP headers, sender and authentication of a datagram, in bytes.
const OVERHEAD_BYTES: usize = 120;

/// Settings of [`Rumours`].
#[value]
#[derive(Copy)]
pub struct RumourSettings {
    /// Peers that hear the news in one round.
    pub fan_out: usize,
    /// Time between two rounds, in milliseconds.
    pub round_ms: u64,
    /// Rounds beyond the logarithm of the number of peers in which news is pushed.
    pub extra_rounds: u32,
    /// Rounds between two datagrams when there is no news.
    pub idle_rounds: u64,
    /// Largest datagram with all headers, in bytes.
    pub datagram_bytes_max: usize,
    /// How long a leaving life is told of, in milliseconds.
    pub leaving_kept_ms: u64,
    /// A quarantine that ends later than the known one by less than this is the known
    /// one, on its way for a while, in milliseconds.
    pub quarantine_slack_ms: u64,
    /// Most facts kept; the oldest one with an end goes first.
    pub items_max: usize,
}

impl Default for RumourSettings {
    fn default() -> Self {
        Self {
            fan_out: 3,
            round_ms: 400,
            extra_rounds: 3,
            idle_rounds: 3,
            datagram_bytes_max: 550,
            leaving_kept_ms: 300_000,
            quarantine_slack_ms: 30_000,
            items_max: 8_192,
        }
    }
}

impl RumourSettings {
    /// Rounds in which a piece of news is pushed among this many peers.
    pub fn push_rounds(&self, peers: usize) -> u32 {
        let base = u64::try_from(self.fan_out)
            .unwrap_or(u64::MAX)
            .saturating_add(1);
        (peers as u64 + 1).ilog(base.max(2)) + 1 + self.extra_rounds
    }

    /// Bytes that a process sends in a second while there is more news than fits.
    pub fn bytes_per_s_max(&self) -> u64 {
        let round_bytes = self.fan_out * self.datagram_bytes_max;
        round_bytes as u64 * 1_000 / self.round_ms.max(1)
    }
}

/// What a fact is about.
#[value]
#[derive(PartialOrd, Ord)]
enum Topic {
    Leaving(SocketAddr),
    Quarantined([u8; 16]),
    Weights(CustomerName, ServiceName),
    Config(CustomerName),
}

#[value]
struct Fact {
    news: News,
    pushes_left: u32,
    /// `None` for facts that last.
    ends_ms: Option<u64>,
}

/// What to send now.
#[value]
pub struct Round {
    /// To whom, each the same datagram.
    pub targets: Vec<SocketAddr>,
    /// What.
    pub news: Vec<News>,
}

/// All facts that this process knows and passes on.
#[derive(Clone, Debug)]
pub struct Rumours {
    settings: RumourSettings,
    facts: BTreeMap<Topic, Fact>,
    /// The last fact that was told without being news.
    told: Option<Topic>,
    next_round_ms: u64,
    idle_rounds: u64,
}

impl Rumours {
    /// Knows nothing yet.
    pub fn new(settings: RumourSettings) -> Self {
        Self {
            settings,
            facts: BTreeMap::new(),
            told: None,
            next_round_ms: 0,
            idle_rounds: 0,
        }
    }

    /// Takes in a fact, from a peer or of one's own; true when it is new, so that the
    /// caller acts on it. Probes, statuses and the like are never new.
    pub fn hear(&mut self, news: &News, peers: usize, now_ms: u64) -> bool {
        let Some(topic) = topic(news) else {
            return false;
        };
        let ends_ms = self.ends_ms(news, now_ms);
        if ends_ms.is_some_and(|ends_ms| ends_ms <= now_ms) {
            return false;
        }
        let mut news = news.clone();
        if let Some(known) = self.facts.get(&topic) {
            news = merged(news, &known.news);
            if !self.is_above(&news, ends_ms, known) {
                return false;
            }
        }
        let fact = Fact {
            news,
            pushes_left: self.settings.push_rounds(peers),
            ends_ms,
        };
        self.facts.insert(topic, fact);
        self.evict();
        true
    }

    /// Everything known, for a peer that starts.
    pub fn all(&self, now_ms: u64) -> impl Iterator<Item = News> {
        let facts = self.facts.values();
        facts.filter_map(move |fact| fact.told_at(now_ms))
    }

    /// When the next round is due.
    pub fn next_round_ms(&self) -> u64 {
        self.next_round_ms
    }

    /// One round; `None` when it is not due or there is nothing to tell.
    pub fn round(
        &mut self,
        peers: &[SocketAddr],
        now_ms: u64,
        rng: &mut impl Rng,
    ) -> Option<Round> {
        if now_ms < self.next_round_ms || peers.is_empty() {
            return None;
        }
        self.next_round_ms = now_ms + self.settings.round_ms;
        self.forget_ended(now_ms);
        let (mut news, mut bytes) = self.push(now_ms);
        let fan_out = if news.is_empty() {
            self.idle_rounds += 1;
            usize::from(self.idle_rounds.is_multiple_of(self.settings.idle_rounds))
        } else {
            self.settings.fan_out
        };
        if fan_out == 0 {
            return None;
        }
        self.fill(&mut news, &mut bytes, now_ms);
        let targets = draw(peers, fan_out, rng);
        Some(Round { targets, news })
    }

    /// The news with the most pushes left, as much as fits.
    fn push(&mut self, now_ms: u64) -> (Vec<News>, usize) {
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
            news.extend(fact.told_at(now_ms));
        }
        (news, bytes)
    }

    /// Fills the datagram with known facts in turn.
    fn fill(&mut self, news: &mut Vec<News>, bytes: &mut usize, now_ms: u64) {
        let room_bytes = self.settings.datagram_bytes_max;
        let after = self.told.take();
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
            self.told = Some(topic.clone());
            let told = fact.told_at(now_ms).filter(|told| !news.contains(told));
            *bytes += told.as_ref().map_or(0, |_| size_bytes);
            news.extend(told);
        }
    }

    fn ends_ms(&self, news: &News, now_ms: u64) -> Option<u64> {
        match news {
            News::Quarantined { left_ms, .. } => Some(now_ms + u64::from(*left_ms)),
            News::Leaving { .. } => Some(now_ms + self.settings.leaving_kept_ms),
            _ => None,
        }
    }

    fn is_above(&self, news: &News, ends_ms: Option<u64>, known: &Fact) -> bool {
        match (news, &known.news) {
            (News::Config(heard), News::Config(known)) => heard.version > known.version,
            (News::Weights { target, .. }, News::Weights { target: known, .. }) => target != known,
            (News::Leaving { node }, News::Leaving { node: known }) => {
                node.incarnation > known.incarnation
            }
            (News::Quarantined { .. }, _) => {
                // Each hop adds its transit time to the end; without slack one
                // quarantine would be news for ever and never end.
                let known_ms = known.ends_ms.unwrap_or(0) + self.settings.quarantine_slack_ms;
                ends_ms > Some(known_ms)
            }
            _ => false,
        }
    }

    fn forget_ended(&mut self, now_ms: u64) {
        self.facts
            .retain(|_, fact| fact.ends_ms.is_none_or(|ends_ms| ends_ms > now_ms));
    }

    fn evict(&mut self) {
        if self.facts.len() <= self.settings.items_max {
            return;
        }
        let ending = self.facts.iter().filter_map(|(topic, fact)| {
            let ends_ms = fact.ends_ms?;
            Some((ends_ms, topic))
        });
        let first = ending.min().map(|(_, topic)| topic.clone());
        if let Some(first) = first {
            self.facts.remove(&first);
        }
    }
}

impl Fact {
    /// The news as it is told now; `None` once it has ended.
    fn told_at(&self, now_ms: u64) -> Option<News> {
        match (&self.news, self.ends_ms) {
            (_, Some(ends_ms)) if ends_ms <= now_ms => None,
            (News::Quarantined { digest, .. }, Some(ends_ms)) => Some(News::Quarantined {
                digest: *digest,
                left_ms: u32::try_from(ends_ms - now_ms).unwrap_or(u32::MAX),
            }),
            (news, _) => Some(news.clone()),
        }
    }
}

fn topic(news: &News) -> Option<Topic> {
    match news {
        News::Config(digest) => Some(Topic::Config(digest.customer.clone())),
        News::Weights {
            customer, service, ..
        } => Some(Topic::Weights(customer.clone(), service.clone())),
        News::Leaving { node } => Some(Topic::Leaving(node.address)),
        News::Quarantined { digest, .. } => Some(Topic::Quarantined(*digest)),
        _ => None,
    }
}

/// The heard news with what is known. Weights to serve and to load come from different
/// calls of a trainer, perhaps at two entries at once: neither piece of news is above the
/// other then, and to keep one of them would lose what only the other says.
fn merged(heard: News, known: &News) -> News {
    match (heard, known) {
        (
            News::Weights {
                customer,
                service,
                target,
            },
            News::Weights { target: known, .. },
        ) => News::Weights {
            customer,
            service,
            target: known.merge(target),
        },
        (heard, _) => heard,
    }
}

/// Most bytes that the news takes on the wire.
fn size_bytes(news: &News) -> usize {
    match news {
        News::Config(digest) => 24 + digest.customer.as_str().len(),
        News::Weights {
            customer, service, ..
        } => 34 + customer.as_str().len() + service.as_str().len(),
        News::Leaving { .. } => 32,
        _ => 24,
    }
}

fn draw(peers: &[SocketAddr], count: usize, rng: &mut impl Rng) -> Vec<SocketAddr> {
    let mut left: Vec<SocketAddr> = peers.to_vec();
    let mut drawn = Vec::with_capacity(count);
    while drawn.len() < count && !left.is_empty() {
        let position = rng.next_u64() % left.len() as u64;
        drawn.push(left.swap_remove(position as usize));
    }
    drawn
}
