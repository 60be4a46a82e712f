//! Datagrams over loopback sockets.

mod common;

use common::{LOOPBACK, key, keys, settings};
use link::{Keys, LinkSettings, Udp};
use protocol::{Datagram, GossipMessage, ProcessRole};
use types::{Incarnation, NodeId};

fn with_keys(keys: Keys) -> LinkSettings {
    settings(LOOPBACK.parse().unwrap_or_else(|_| unreachable!()), keys)
}

fn datagram(count: usize) -> Datagram {
    let address = ([127, 0, 0, 1], 7).into();
    let node = NodeId {
        address,
        incarnation: Incarnation(u64::MAX),
    };
    let messages = vec![GossipMessage::Leaving { node }; count];
    Datagram {
        from: node,
        role: ProcessRole::Entry,
        messages,
    }
}

#[tokio::test]
async fn can_send_more_messages_than_fit_one_packet() {
    let receiver = Udp::bind(LOOPBACK.parse().unwrap(), &with_keys(keys()))
        .await
        .unwrap();
    let sender = Udp::bind(LOOPBACK.parse().unwrap(), &with_keys(keys()))
        .await
        .unwrap();
    let to = receiver.local_address().unwrap();
    sender.send(to, &datagram(200)).await.unwrap();
    let mut received = 0;
    while received < 200 {
        let (from, part) = receiver.recv().await;
        assert_eq!(from, sender.local_address().unwrap());
        assert_eq!(part.from, datagram(0).from);
        received += part.messages.len();
    }
    assert_eq!(received, 200);
}

// The first datagram is signed with a key that the receiver does not accept, so it must be
// counted and dropped; only the second one is delivered.
#[tokio::test]
async fn can_drop_datagrams_with_an_unaccepted_key() {
    let receiver = Udp::bind(LOOPBACK.parse().unwrap(), &with_keys(keys()))
        .await
        .unwrap();
    let to = receiver.local_address().unwrap();
    let stranger = with_keys(Keys::one(key(9)));
    let stranger = Udp::bind(LOOPBACK.parse().unwrap(), &stranger)
        .await
        .unwrap();
    stranger.send(to, &datagram(1)).await.unwrap();
    let sender = Udp::bind(LOOPBACK.parse().unwrap(), &with_keys(keys()))
        .await
        .unwrap();
    sender.send(to, &datagram(2)).await.unwrap();
    assert_eq!(receiver.recv().await.1, datagram(2));
    assert_eq!(receiver.traffic().datagrams_dropped, 1);
}
