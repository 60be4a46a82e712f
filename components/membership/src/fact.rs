//! Facts that gossip spreads: their topic, their expiry, and which of two messages about one topic
//! is kept.

use std::net::SocketAddr;

use derive::value;
use protocol::GossipMessage;
use types::{CustomerName, ServiceName};

/// Topic of a fact. At most one fact per topic is kept.
#[value]
#[derive(PartialOrd, Ord)]
pub(crate) enum Topic {
    Leaving(SocketAddr),
    Quarantined([u8; 16]),
    Weights(CustomerName, ServiceName),
    Config(CustomerName),
}

/// A gossip message with the number of rounds that still push it and its expiry.
#[value]
pub(crate) struct Fact {
    pub(crate) message: GossipMessage,
    pub(crate) pushes_left: u32,
    /// `None` for facts that do not expire.
    pub(crate) expires_ms: Option<u64>,
}

impl Fact {
    /// The message as sent at `now_ms`; `None` once the fact has expired.
    pub(crate) fn message_at(&self, now_ms: u64) -> Option<GossipMessage> {
        match (&self.message, self.expires_ms) {
            (_, Some(ends_ms)) if ends_ms <= now_ms => None,
            (GossipMessage::Quarantined { digest, .. }, Some(ends_ms)) => {
                Some(GossipMessage::Quarantined {
                    digest: *digest,
                    left_ms: u32::try_from(ends_ms - now_ms).unwrap_or(u32::MAX),
                })
            }
            (message, _) => Some(message.clone()),
        }
    }
}

/// Topic of a message that is gossiped; `None` for probes, statuses and other messages that are not
/// passed on.
pub(crate) fn topic_of(message: &GossipMessage) -> Option<Topic> {
    match message {
        GossipMessage::Config(digest) => Some(Topic::Config(digest.customer.clone())),
        GossipMessage::Weights {
            customer, service, ..
        } => Some(Topic::Weights(customer.clone(), service.clone())),
        GossipMessage::Leaving { node } => Some(Topic::Leaving(node.address)),
        GossipMessage::Quarantined { digest, .. } => Some(Topic::Quarantined(*digest)),
        _ => None,
    }
}

/// Merges a received message with the known one on the same topic. Versions to serve and to load
/// come from different calls of a trainer, possibly at two entries at the same time. Neither
/// message supersedes the other then, and keeping only one would lose a version that only the other
/// one names.
pub(crate) fn merge_known(received: GossipMessage, known: &GossipMessage) -> GossipMessage {
    match (received, known) {
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
        (received, _) => received,
    }
}

/// Upper bound on the encoded size of the message, in bytes.
pub(crate) fn size_bytes(message: &GossipMessage) -> usize {
    match message {
        GossipMessage::Config(digest) => 24 + digest.customer.as_str().len(),
        GossipMessage::Weights {
            customer, service, ..
        } => 34 + customer.as_str().len() + service.as_str().len(),
        GossipMessage::Leaving { .. } => 32,
        _ => 24,
    }
}
