//! Delivery to trainers that number their fetches instead of storing a cursor.

mod support;

use std::collections::BTreeSet;

use samples::{Cursor, FetchLog, FetchState, Grant, GrantVerdict, SlotSet};
use support::{ledger, room, starts, step_of, version};

fn set(total: u32, positions: impl IntoIterator<Item = u32>) -> SlotSet {
    let mut set = SlotSet::new(total);
    positions.into_iter().for_each(|position| {
        set.insert(position);
    });
    set
}

#[test]
fn can_return_the_same_slots_to_a_repeated_fetch_at_another_home() {
    // The first home appends the grant of fetch 1 and crashes before it sends the reply. The
    // trainer repeats fetch 1 at the second home, which reads the grant, runs the slots whose
    // texts were lost, and must return exactly these slots once all are finished.
    let step = step_of(1, 4);
    let mut log = FetchLog::new(&step);
    let granted = set(4, [1, 2]);
    assert_eq!(log.apply(&log.grant(1, &granted)), GrantVerdict::Applied);
    let FetchState::Granted { base, slots } = log.fetch_state(1) else {
        panic!("fetch 1 has no grant");
    };
    assert_eq!((&base, &slots), (&Cursor::start(&step), &granted));
    let mut second = ledger(&step, Default::default(), version(1, 1));
    let early = second.fetch_granted(&base, &slots, version(1, 1), 0);
    assert_eq!(early, Ok(None));
    second.dispatch(&room(1, 4, version(1, 1)), 0);
    for start in starts(&mut second) {
        second.record_completion(start.run, support::completion("text", [version(1, 1)]), 1);
    }
    let reply = second.fetch_granted(&base, &slots, version(1, 1), 1);
    assert_eq!(reply.unwrap().unwrap().slots(&step), granted);
}

checks::seeded! {
    // Homes with outdated views append grants that are duplicated, late or out of sequence.
    // Every reader of the log must accept the same grants, and no slot may be in two of them.
    fn can_grant_each_slot_once_whatever_is_appended(appends: Vec<(u64, Vec<u32>)>) -> bool {
        let step = step_of(4, 8);
        let mut first = FetchLog::new(&step);
        let mut second = FetchLog::new(&step);
        let grant = |(fetch, positions): &(u64, Vec<u32>)| {
            let slots = set(32, positions.iter().map(|position| position % 32));
            FetchLog::new(&step).grant(fetch % 6, &slots)
        };
        let records: Vec<Grant> = appends.iter().map(grant).collect();
        let same = records.iter().all(|record| first.apply(record) == second.apply(record));
        let mut seen = BTreeSet::new();
        let once = (1..6).all(|fetch| match first.fetch_state(fetch) {
            FetchState::Granted { base, slots } => {
                let before: BTreeSet<u32> = base.received().iter().collect();
                before == seen && slots.iter().all(|position| seen.insert(position))
            }
            FetchState::Next { base } => base.received().len() as usize == seen.len(),
            FetchState::Ahead { .. } => true,
        });
        same && once
    }
}
