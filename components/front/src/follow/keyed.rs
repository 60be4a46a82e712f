//! Follower of a keyed topic: reads the newest record of each key, then the changes that follow.

use std::collections::HashMap;

use bytes::Bytes;
use dispatch::ReplicaId;
use pacing::TopicPace;
use platform::store::{NewestPage, decode_keyed};

use super::{Batch, Follower, SentRead, TopicCopy};
use crate::state::Front;

/// An update of a keyed topic.
pub enum KeyedUpdate {
    /// The key's new value; `None` if the key was deleted.
    Key(String, Option<Bytes>),
    /// The newest record of this key cannot be decoded.
    Malformed(String),
    /// All keys that have a value; every other key was deleted.
    AllKeys(Vec<ReplicaId>),
    /// End of a batch of updates; `current` if the batch reached the end of the log. The reader of
    /// the updates then calls [`TopicCopy::record_current`].
    BatchEnd { read: SentRead, current: bool },
    /// A read of the topic failed.
    ReadFailed,
}

/// Follows a keyed topic and passes its updates to `on_update` in order, until the process ends.
pub async fn follow(
    front: &Front,
    copy: &TopicCopy,
    topic: &'static str,
    pace: TopicPace,
    mut on_update: impl FnMut(KeyedUpdate),
) {
    let mut follower = Follower::new(front, copy, topic, 0, pace);
    let mut offsets: HashMap<String, u64> = HashMap::new();
    loop {
        let mut keys = Vec::new();
        let on_page = |page| apply_page(page, &mut keys, &mut offsets, &mut on_update);
        let Some(read) = follower.read_newest(on_page).await else {
            on_update(KeyedUpdate::ReadFailed);
            continue;
        };
        on_update(KeyedUpdate::AllKeys(keys));
        let current = true;
        on_update(KeyedUpdate::BatchEnd { read, current });
        loop {
            match follower.read().await {
                Batch::Records {
                    read,
                    from,
                    records,
                    current,
                } => {
                    for (offset, record) in (from..).zip(records) {
                        apply_record(topic, offset, record, &mut offsets, &mut on_update);
                    }
                    on_update(KeyedUpdate::BatchEnd { read, current });
                }
                Batch::Trimmed => break,
                Batch::Failed => on_update(KeyedUpdate::ReadFailed),
            }
        }
    }
}

/// Passes the records of a page on, except those that were passed on before, and adds their keys to
/// `keys`.
fn apply_page(
    page: NewestPage,
    keys: &mut Vec<ReplicaId>,
    offsets: &mut HashMap<String, u64>,
    on_update: &mut impl FnMut(KeyedUpdate),
) {
    for key in page.malformed_keys {
        on_update(KeyedUpdate::Malformed(key));
    }
    for record in page.records {
        keys.push(ReplicaId::from(record.key.as_str()));
        if offsets
            .get(&record.key)
            .is_none_or(|known| *known < record.offset)
        {
            offsets.insert(record.key.clone(), record.offset);
            on_update(KeyedUpdate::Key(record.key, Some(record.value)));
        }
    }
}

/// Passes a record on unless a newer record of its key was already passed on: after the store has
/// lost history, the log may be read again from an older offset.
fn apply_record(
    topic: &str,
    offset: u64,
    record: Bytes,
    offsets: &mut HashMap<String, u64>,
    on_update: &mut impl FnMut(KeyedUpdate),
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
    on_update(KeyedUpdate::Key(key, value));
}
