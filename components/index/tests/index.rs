//! Tests of the index with malformed records.

use bytes::Bytes;
use index::{Index, LogRecord, decode, encode};
use lease::{Lease, LeaseSettings};
use steps::{FailedPart, StepId, StepRecord, decode_item};

fn index() -> Index {
    Index::new(Lease::new("a", 1, LeaseSettings::with_pause(300)))
}

fn record(step: u64) -> LogRecord {
    LogRecord::Step(StepRecord::Failed {
        step: StepId(step),
        item: 1,
        part: FailedPart::Run,
    })
}

#[test]
fn can_skip_a_malformed_record() {
    // A record of a later release stands between two known ones. It must be reported, and the
    // other two must be applied.
    let encoded = |step| encode(&record(step)).expect("the record encodes");
    let records = [encoded(1), Bytes::from_static(&[250, 1, 2]), encoded(2)];
    let mut malformed = Vec::new();
    let next = index().apply(7, &records, 0, |offset, _| malformed.push(offset));
    assert_eq!((next, malformed), (10, vec![8]));
}

checks::seeded! {
    /// Guards against panics in decoding: random bytes, and records that are truncated or have a
    /// flipped bit, give a typed error or decode to some record.
    fn random_bytes_give_an_error_or_a_record(bytes: Vec<u8>, step: u64, at: usize) -> bool {
        let _ = decode(&bytes);
        let _ = decode_item(&bytes);
        let encoded = encode(&record(step)).expect("the record encodes");
        let cut = at % encoded.len();
        let mut changed = encoded.to_vec();
        changed[cut] ^= 1 << (at % 8);
        let _ = decode(&changed);
        decode(&encoded[..cut]).is_err() && decode(&encoded).is_ok()
    }
}
