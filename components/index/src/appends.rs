//! Divides data into records and appends that the store accepts.

use std::ops::Range;

use bytes::Bytes;
use derive::value;

/// Bytes that the store counts for the length before each record.
pub const LENGTH_PREFIX_BYTES: usize = 4;

/// Limits of the store on the content of an append, in bytes.
#[value]
#[derive(Copy)]
pub struct AppendLimits {
    /// Longest record.
    pub record_bytes_max: usize,
    /// Most bytes of all records of one append, with the length before each.
    pub append_bytes_max: usize,
}

impl AppendLimits {
    /// Longest record that an append of its own accepts.
    pub fn longest_record(&self) -> usize {
        let fits = self.append_bytes_max.saturating_sub(LENGTH_PREFIX_BYTES);
        self.record_bytes_max.min(fits).max(1)
    }

    /// Divides a text into records. An empty text is one empty record.
    pub fn split_text(&self, text: &Bytes) -> Vec<Bytes> {
        let bytes_max = self.longest_record();
        let ends = (bytes_max..text.len()).step_by(bytes_max);
        let starts = std::iter::once(0).chain(ends);
        let part = |start: usize| text.slice(start..text.len().min(start + bytes_max));
        starts.map(part).collect()
    }

    /// Divides records into appends, in their order. Each record must be accepted by itself.
    pub fn group_records(&self, records: &[Bytes]) -> Vec<Range<usize>> {
        let mut groups = Vec::new();
        let (mut start, mut bytes) = (0, 0);
        for (at, record) in records.iter().enumerate() {
            let framed_bytes = record.len() + LENGTH_PREFIX_BYTES;
            if bytes + framed_bytes > self.append_bytes_max && at > start {
                groups.push(start..at);
                (start, bytes) = (at, 0);
            }
            bytes += framed_bytes;
        }
        if start < records.len() {
            groups.push(start..records.len());
        }
        groups
    }
}
