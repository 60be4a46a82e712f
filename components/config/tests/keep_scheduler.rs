//! When records are appended again.

use config::{KeepScheduler, KeepSettings, Ledger, Publish, Record};
use types::CustomerName;

const POLICY: KeepSettings = KeepSettings {
    interval_ms: 1_000,
    rank_delay_ms: 100,
    ranks: 4,
    end_read_age_ms_max: 50,
    records_max: 3,
};

fn office() -> CustomerName {
    CustomerName::new("office").expect("a name")
}

fn publish(ledger: &mut Ledger, name: &CustomerName) -> Record {
    let current = ledger.current(name).cloned();
    let text = format!(
        "schema = 1\ncustomer = \"{name}\"\n# {}\n",
        ledger.next_offset()
    );
    let id = format!("id-{}", ledger.next_offset());
    let record = Record::Publish(Publish::based_on(
        name.clone(),
        current.as_deref(),
        &id,
        &text,
    ));
    ledger.apply(ledger.next_offset(), &record);
    record
}

/// A keeper that read the customer's publish at 0 ms, with its ledger.
fn keeper(is_new: bool) -> (KeepScheduler, Ledger) {
    let mut ledger = Ledger::starting_at(0);
    let record = publish(&mut ledger, &office());
    let mut keeper = KeepScheduler::new(POLICY);
    keeper.on_record(&ledger, &record, is_new, 0);
    (keeper, ledger)
}

struct Case {
    name: &'static str,
    is_new: bool,
    rank: Option<u32>,
    now_ms: u64,
    due: bool,
}

#[test]
fn can_append_again_by_age_and_rank() {
    let case = |name, is_new, rank, now_ms, due| Case {
        name,
        is_new,
        rank,
        now_ms,
        due,
    };
    let cases = [
        case("a young record", true, Some(0), 999, false),
        case("an old one", true, Some(0), 1_000, true),
        case("the next rank waits", true, Some(1), 1_099, false),
        case("and takes over", true, Some(1), 1_100, true),
        case("the last rank", true, Some(3), 1_300, true),
        case("a rank behind the last", true, Some(4), 9_000, false),
        case("no rank", true, None, 9_000, false),
        case("a record of unknown age", false, Some(0), 1, true),
        case(
            "a record of unknown age, next rank",
            false,
            Some(1),
            99,
            false,
        ),
    ];
    for case in cases {
        let (mut keeper, ledger) = keeper(case.is_new);
        keeper.on_end_read(case.now_ms);
        let due = keeper.due_records(&ledger, case.now_ms, |name| name.and(case.rank));
        let wanted = ledger.keep_record(&office()).map(Record::Keep);
        let wanted: Vec<Record> = wanted.into_iter().filter(|_| case.due).collect();
        assert_eq!(due, wanted, "{}", case.name);
    }
}

#[test]
fn can_wait_for_its_own_append_and_start_anew_when_it_is_read() {
    let (mut keeper, mut ledger) = keeper(true);
    let rank = |name: Option<&CustomerName>| name.map(|_| 0);
    keeper.on_end_read(1_000);
    let record = keeper.due_records(&ledger, 1_000, rank).pop().unwrap();
    keeper.on_end_read(1_050);
    assert!(keeper.due_records(&ledger, 1_050, rank).is_empty());
    // The answer was lost, and nothing was read: once more.
    keeper.on_end_read(1_100);
    assert_eq!(keeper.due_records(&ledger, 1_100, rank).len(), 1);
    ledger.apply(1, &record);
    keeper.on_record(&ledger, &record, true, 1_120);
    keeper.on_end_read(2_119);
    assert!(keeper.due_records(&ledger, 2_119, rank).is_empty());
    keeper.on_end_read(2_120);
    assert_eq!(keeper.due_records(&ledger, 2_120, rank).len(), 1);
}

#[test]
fn can_wake_from_a_pause_without_appending_what_others_did() {
    // A process is frozen for an hour; others append every version again meanwhile. On
    // waking it finds each record old. Until it has read the log's end it must stay
    // silent, or every woken process would append everything at once.
    let (mut keeper, ledger) = keeper(true);
    keeper.on_end_read(10);
    assert!(
        keeper
            .due_records(&ledger, 3_600_000, |_| Some(0))
            .is_empty()
    );
    keeper.on_end_read(3_600_000);
    assert!(
        !keeper
            .due_records(&ledger, 3_600_000, |_| Some(0))
            .is_empty()
    );
}

#[test]
fn can_leave_an_old_version_s_record_out_of_account() {
    // A late keep record of version 1 is read after version 2 was accepted. It must not
    // count as a fresh record of the current version, which would then expire.
    let (mut keeper, mut ledger) = keeper(true);
    let late = ledger.keep_record(&office()).map(Record::Keep).unwrap();
    let second = publish(&mut ledger, &office());
    keeper.on_record(&ledger, &second, true, 10);
    ledger.apply(2, &late);
    keeper.on_record(&ledger, &late, true, 900);
    keeper.on_end_read(1_010);
    let due = keeper.due_records(&ledger, 1_010, |name| name.map(|_| 0));
    assert!(
        matches!(&due[..], [Record::Keep(keep)] if keep.version == 2),
        "{due:?}"
    );
}

#[test]
fn can_append_the_list_and_a_few_versions_at_a_time() {
    let mut ledger = Ledger::starting_at(0);
    for n in 0..5 {
        let name = CustomerName::new(&format!("c{n}")).unwrap();
        publish(&mut ledger, &name);
    }
    let mut keeper = KeepScheduler::new(POLICY);
    keeper.on_end_read(7);
    let mut kept = Vec::new();
    loop {
        let due = keeper.due_records(&ledger, 7, |_| Some(0));
        assert!(due.len() <= POLICY.records_max);
        if due.is_empty() {
            break;
        }
        kept.extend(due);
    }
    assert!(matches!(&kept[0], Record::Customers(list) if list.names.len() == 5));
    assert_eq!(kept.len(), 6);
}

#[test]
fn can_derive_times_from_the_retention() {
    let policy = KeepSettings::for_retention(3_600_000);
    let last_ms = policy.interval_ms + u64::from(policy.ranks) * policy.rank_delay_ms;
    assert!(last_ms <= 1_800_000);
    assert!(policy.end_read_age_ms_max < policy.rank_delay_ms);
}
