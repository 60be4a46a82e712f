//! Topics of the store: partitions of records, and the newest record of each key.

use std::collections::{BTreeMap, VecDeque};

use bytes::{Buf, BufMut, Bytes, BytesMut};

/// Prefix of topics whose records have keys.
const KEYED: &str = "keyed.";

/// Why an append is refused.
pub(super) enum Refused {
    /// The partition does not end where the condition says.
    End(u64),
    /// A newer epoch of the producer was seen.
    Fenced,
    /// The next number of the producer is this one.
    Sequence(u64),
}

/// Condition and numbering of an append.
#[derive(Default)]
pub(super) struct Terms {
    pub(super) as_of: Option<u64>,
    pub(super) producer: Option<String>,
    pub(super) epoch: u64,
    pub(super) sequence: u64,
}

#[derive(Default)]
struct Producer {
    epoch: u64,
    next: u64,
    answers: VecDeque<(u64, u64)>,
}

#[derive(Default)]
pub(super) struct Partition {
    first: u64,
    records: VecDeque<Bytes>,
    newest: BTreeMap<String, (u64, Bytes)>,
    producers: BTreeMap<String, Producer>,
}

/// First answers that a numbered producer's repetitions get again.
const ANSWERS_KEPT: usize = 5;

impl Partition {
    pub(super) fn end(&self) -> u64 {
        self.first + self.records.len() as u64
    }

    pub(super) fn first(&self) -> u64 {
        self.first
    }

    /// Forgets the oldest records before `before`; newest records of keys stay.
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
        terms: &Terms,
    ) -> Result<u64, Refused> {
        let end = self.end();
        if let Some(repeated) = self.check_producer(terms)? {
            return Ok(repeated);
        }
        if terms.as_of.is_some_and(|as_of| as_of != end) {
            return Err(Refused::End(end));
        }
        for record in records {
            if topic.starts_with(KEYED) {
                self.keep_newest(record.clone());
            }
            self.records.push_back(record);
        }
        if let Some(name) = &terms.producer {
            let producer = self.producers.entry(name.clone()).or_default();
            producer.next = terms.sequence + 1;
            producer.answers.push_back((terms.sequence, end));
            if producer.answers.len() > ANSWERS_KEPT {
                producer.answers.pop_front();
            }
        }
        Ok(end)
    }

    fn check_producer(&mut self, terms: &Terms) -> Result<Option<u64>, Refused> {
        let Some(name) = &terms.producer else {
            return Ok(None);
        };
        let producer = self.producers.entry(name.clone()).or_default();
        if terms.epoch < producer.epoch {
            return Err(Refused::Fenced);
        }
        if terms.epoch > producer.epoch {
            let (epoch, next) = (terms.epoch, terms.sequence);
            *producer = Producer {
                epoch,
                next,
                answers: VecDeque::new(),
            };
        }
        let known = producer
            .answers
            .iter()
            .find(|(sequence, _)| *sequence == terms.sequence);
        if let Some((_, offset)) = known {
            return Ok(Some(*offset));
        }
        match terms.sequence == producer.next {
            true => Ok(None),
            false => Err(Refused::Sequence(producer.next)),
        }
    }

    fn keep_newest(&mut self, mut record: Bytes) {
        let key_bytes = usize::from(record.get_u8());
        let key = String::from_utf8_lossy(&record.split_to(key_bytes)).into_owned();
        match record.is_empty() {
            true => self.newest.remove(&key),
            false => self.newest.insert(key, (self.end(), record)),
        };
    }

    /// Keys behind `after` with the offset and value of their newest record.
    pub(super) fn newest(&self, after: &str, most: usize) -> Vec<(&String, u64, &Bytes)> {
        let behind = self
            .newest
            .iter()
            .filter(|(key, _)| after.is_empty() || key.as_str() > after);
        behind
            .take(most)
            .map(|(key, (offset, value))| (key, *offset, value))
            .collect()
    }

    /// Records from `from` on, framed, up to about `max_bytes`; one at least if there is one.
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

/// Takes framed records apart; none if they are odd.
pub(super) fn unframed(mut body: Bytes) -> Option<Vec<Bytes>> {
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
