//! Following a keyed topic: the newest record of each key, then the changes behind them.

use std::collections::HashMap;

use bytes::Bytes;
use dispatch::ReplicaId;
use pacing::TopicPace;
use platform::store::decode_keyed;

use super::{Batch, Follower};
use crate::state::Front;

/// What a follower is told by a keyed topic.
pub enum KeyedNews {
    /// A key has a value, or was dropped.
    Key(String, Option<Bytes>),
    /// These are all keys that have a value.
    All(Vec<ReplicaId>),
    /// All news so far were told; whether nothing is left to be read.
    Settled { current: bool },
    /// The store can't be reached.
    Lost,
}

/// Follows a keyed topic and tells `take` what it says, in order.
pub async fn follow(
    front: &Front,
    topic: &'static str,
    pace: TopicPace,
    mut take: impl FnMut(KeyedNews),
) {
    let mut follower = Follower::new(front, topic, 0, pace);
    let mut offsets: HashMap<String, u64> = HashMap::new();
    loop {
        let Some(newest) = follower.newest().await else {
            take(KeyedNews::Lost);
            continue;
        };
        let mut keys = Vec::with_capacity(newest.len());
        for record in newest {
            keys.push(ReplicaId::from(record.key.as_str()));
            if offsets
                .get(&record.key)
                .is_none_or(|known| *known < record.offset)
            {
                offsets.insert(record.key.clone(), record.offset);
                take(KeyedNews::Key(record.key, Some(record.value)));
            }
        }
        take(KeyedNews::All(keys));
        take(KeyedNews::Settled { current: true });
        loop {
            match follower.read().await {
                Batch::Records {
                    from,
                    records,
                    current,
                } => {
                    for (offset, record) in (from..).zip(records) {
                        take_record(topic, offset, record, &mut offsets, &mut take);
                    }
                    take(KeyedNews::Settled { current });
                }
                Batch::Trimmed => break,
                Batch::Failed => take(KeyedNews::Lost),
            }
        }
    }
}

/// Tells of a record unless a newer one of its key is known: a log whose history was lost may
/// be read from an older offset.
fn take_record(
    topic: &str,
    offset: u64,
    record: Bytes,
    offsets: &mut HashMap<String, u64>,
    take: &mut impl FnMut(KeyedNews),
) {
    let (key, value) = match decode_keyed(record) {
        Ok(read) => read,
        Err(error) => {
            log::warn!(event = "record-malformed", topic, offset, error:% = error; "");
            return;
        }
    };
    if offsets.get(&key).is_some_and(|known| *known >= offset) {
        return;
    }
    match value.is_some() {
        true => offsets.insert(key.clone(), offset),
        false => offsets.remove(&key),
    };
    take(KeyedNews::Key(key, value));
}
