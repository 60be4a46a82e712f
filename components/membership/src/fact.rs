//! A piece of news as it is kept: its topic, its end, and which of two pieces stays.

use std::net::SocketAddr;

use derive::value;
use protocol::GossipMessage;
use types::{CustomerName, ServiceName};

/// What a fact is about.
#[value]
#[derive(PartialOrd, Ord)]
pub(crate) enum Topic {
    Leaving(SocketAddr),
    Quarantined([u8; 16]),
    Weights(CustomerName, ServiceName),
    Config(CustomerName),
}

/// A piece of news with its further pushes and its end.
#[value]
pub(crate) struct Fact {
    pub(crate) news: GossipMessage,
    pub(crate) pushes_left: u32,
    /// `None` for facts that last.
    pub(crate) expires_ms: Option<u64>,
}

impl Fact {
    /// The news as it is told now; `None` once it has ended.
    pub(crate) fn news_at(&self, now_ms: u64) -> Option<GossipMessage> {
        match (&self.news, self.expires_ms) {
            (_, Some(ends_ms)) if ends_ms <= now_ms => None,
            (GossipMessage::Quarantined { digest, .. }, Some(ends_ms)) => {
                Some(GossipMessage::Quarantined {
                    digest: *digest,
                    left_ms: u32::try_from(ends_ms - now_ms).unwrap_or(u32::MAX),
                })
            }
            (news, _) => Some(news.clone()),
        }
    }
}

/// The topic of news that is passed on; `None` for probes, statuses and the like.
pub(crate) fn topic_of(news: &GossipMessage) -> Option<Topic> {
    match news {
        GossipMessage::Config(digest) => Some(Topic::Config(digest.customer.clone())),
        GossipMessage::Weights {
            customer, service, ..
        } => Some(Topic::Weights(customer.clone(), service.clone())),
        GossipMessage::Leaving { node } => Some(Topic::Leaving(node.address)),
        GossipMessage::Quarantined { digest, .. } => Some(Topic::Quarantined(*digest)),
        _ => None,
    }
}

/// The heard news with what is known. Weights to serve and to load come from different
/// calls of a trainer, perhaps at two entries at once: neither piece of news is above the
/// other then, and to keep one of them would lose what only the other says.
pub(crate) fn merge_known(heard: GossipMessage, known: &GossipMessage) -> GossipMessage {
    match (heard, known) {
        (
            GossipMessage::Weights {
                customer,
                service,
                target,
            },
            GossipMessage::Weights { target: known, .. },
        ) => GossipMessage::Weights {
            customer,
            service,
            target: known.merge(target),
        },
        (heard, _) => heard,
    }
}

/// Most bytes that the news takes on the wire.
pub(crate) fn size_bytes(news: &GossipMessage) -> usize {
    match news {
        GossipMessage::Config(digest) => 24 + digest.customer.as_str().len(),
        GossipMessage::Weights {
            customer, service, ..
        } => 34 + customer.as_str().len() + service.as_str().len(),
        GossipMessage::Leaving { .. } => 32,
        _ => 24,
    }
}
