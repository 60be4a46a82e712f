//! The index under odd records and lost history.

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
fn can_pass_over_an_odd_record() {
    // A record of a later release stands between two others: it is named, and they hold.
    let whole = |step| encode(&record(step)).expect("a record");
    let records = [whole(1), Bytes::from_static(&[250, 1, 2]), whole(2)];
    let mut odd = Vec::new();
    let next = index().apply(7, &records, 0, |offset, _| odd.push(offset));
    assert_eq!((next, odd), (10, vec![8]));
}

checks::seeded! {
    /// Bytes that are no record end in a typed error; those of a record, cut or changed at any
    /// place, too, or they are another record.
    fn odd_bytes_are_an_error_or_a_record(bytes: Vec<u8>, step: u64, at: usize) -> bool {
        let _ = decode(&bytes);
        let _ = decode_item(&bytes);
        let whole = encode(&record(step)).expect("a record");
        let cut = at % whole.len();
        let mut changed = whole.to_vec();
        changed[cut] ^= 1 << (at % 8);
        let _ = decode(&changed);
        decode(&whole[..cut]).is_err() && decode(&whole).is_ok()
    }
}
