//! Partitions of the store's topics: records by offset, the newest record of each key, and the
//! deduplication of retried appends.

use std::collections::{BTreeMap, VecDeque};

use bytes::{Buf, BufMut, Bytes, BytesMut};

/// Name prefix of topics whose records have keys.
const KEYED: &str = "keyed.";

/// Why an append was refused.
pub(super) enum AppendRefusal {
    /// The partition ends at this offset instead of the offset in the condition.
    End(u64),
    /// The producer has appended with a newer epoch.
    Fenced,
    /// The sequence number is neither that of a recent append nor the producer's next number, which
    /// is this one.
    Sequence(u64),
}

/// Condition of an append, and the producer's sequence number by which the store recognizes a retry.
#[derive(Default)]
pub(super) struct AppendConditions {
    /// Offset at which the partition must end.
    pub(super) as_of: Option<u64>,
    pub(super) producer: Option<String>,
    pub(super) epoch: u64,
    pub(super) sequence: u64,
}

#[derive(Default)]
struct Producer {
    epoch: u64,
    next: u64,
    /// Sequence numbers and offsets of recent appends.
    recent_appends: VecDeque<(u64, u64)>,
}

#[derive(Default)]
pub(super) struct Partition {
    first: u64,
    records: VecDeque<Bytes>,
    /// Newest record of each key, with its offset.
    newest: BTreeMap<String, (u64, Bytes)>,
    producers: BTreeMap<String, Producer>,
}

/// Appends per producer whose retries return the offset of the first attempt.
const RECENT_APPENDS_MAX: usize = 5;

impl Partition {
    pub(super) fn end(&self) -> u64 {
        self.first + self.records.len() as u64
    }

    pub(super) fn first(&self) -> u64 {
        self.first
    }

    /// Trims the records before offset `before`. The newest record of each key stays readable.
    pub(super) fn trim(&mut self, before: u64) {
        while self.first < before.min(self.end()) {
            self.records.pop_front();
            self.first += 1;
        }
    }

    pub(super) fn append(
        &mut self,
        topic: &str,
        records: Vec<Bytes>,
        conditions: &AppendConditions,
    ) -> Result<u64, AppendRefusal> {
        let end = self.end();
        if let Some(offset) = self.check_producer(conditions)? {
            return Ok(offset);
        }
        if conditions.as_of.is_some_and(|as_of| as_of != end) {
            return Err(AppendRefusal::End(end));
        }
        for record in records {
            if topic.starts_with(KEYED) {
                self.update_newest(record.clone());
            }
            self.records.push_back(record);
        }
        if let Some(name) = &conditions.producer {
            let producer = self.producers.entry(name.clone()).or_default();
            producer.next = conditions.sequence + 1;
            producer
                .recent_appends
                .push_back((conditions.sequence, end));
            if producer.recent_appends.len() > RECENT_APPENDS_MAX {
                producer.recent_appends.pop_front();
            }
        }
        Ok(end)
    }

    fn check_producer(
        &mut self,
        conditions: &AppendConditions,
    ) -> Result<Option<u64>, AppendRefusal> {
        let Some(name) = &conditions.producer else {
            return Ok(None);
        };
        let producer = self.producers.entry(name.clone()).or_default();
        if conditions.epoch < producer.epoch {
            return Err(AppendRefusal::Fenced);
        }
        if conditions.epoch > producer.epoch {
            let (epoch, next) = (conditions.epoch, conditions.sequence);
            *producer = Producer {
                epoch,
                next,
                recent_appends: VecDeque::new(),
            };
        }
        let retried = producer
            .recent_appends
            .iter()
            .find(|(sequence, _)| *sequence == conditions.sequence);
        if let Some((_, offset)) = retried {
            return Ok(Some(*offset));
        }
        match conditions.sequence == producer.next {
            true => Ok(None),
            false => Err(AppendRefusal::Sequence(producer.next)),
        }
    }

    fn update_newest(&mut self, mut record: Bytes) {
        let key_bytes = usize::from(record.get_u8());
        let key = String::from_utf8_lossy(&record.split_to(key_bytes)).into_owned();
        match record.is_empty() {
            true => self.newest.remove(&key),
            false => self.newest.insert(key, (self.end(), record)),
        };
    }

    /// Keys that sort after `after`, with offset and value of their newest record; all keys if
    /// `after` is empty.
    pub(super) fn newest(&self, after: &str, max_keys: usize) -> Vec<(&String, u64, &Bytes)> {
        let later = self
            .newest
            .iter()
            .filter(|(key, _)| after.is_empty() || key.as_str() > after);
        later
            .take(max_keys)
            .map(|(key, (offset, value))| (key, *offset, value))
            .collect()
    }

    /// Page of the records from `from` on, each preceded by its length. The page starts with the
    /// end and the first offset of the partition. Its size is limited to about `max_bytes`, but it
    /// has at least one record if there is one.
    pub(super) fn page(&self, from: u64, max_bytes: usize) -> Bytes {
        let mut page = BytesMut::new();
        page.put_u64(self.end());
        page.put_u64(self.first);
        for record in self
            .records
            .iter()
            .skip(from.saturating_sub(self.first) as usize)
        {
            if page.len() > 16 && page.len() + record.len() > max_bytes {
                break;
            }
            page.put_u32(record.len() as u32);
            page.put_slice(record);
        }
        page.freeze()
    }
}

/// Parses records that are each preceded by their length; `None` if a record is incomplete.
pub(super) fn parse_frames(mut body: Bytes) -> Option<Vec<Bytes>> {
    let mut records = Vec::new();
    while !body.is_empty() {
        if body.len() < 4 {
            return None;
        }
        let bytes = body.get_u32() as usize;
        if body.len() < bytes {
            return None;
        }
        records.push(body.split_to(bytes));
    }
    Some(records)
}
