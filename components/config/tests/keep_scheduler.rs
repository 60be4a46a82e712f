//! When a process appends keep records again.

use config::{KeepScheduler, KeepSettings, Ledger, Publish, Record};
use types::CustomerName;

const SETTINGS: KeepSettings = KeepSettings {
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

/// A scheduler that read the customer's publish at 0 ms, with its ledger.
fn scheduler(is_new: bool) -> (KeepScheduler, Ledger) {
    let mut ledger = Ledger::starting_at(0);
    let record = publish(&mut ledger, &office());
    let mut scheduler = KeepScheduler::new(SETTINGS);
    scheduler.on_record(&ledger, &record, is_new, 0);
    (scheduler, ledger)
}

struct Case {
    name: &'static str,
    is_new: bool,
    rank: Option<u32>,
    now_ms: u64,
    is_due: bool,
}

#[test]
fn can_append_again_by_age_and_rank() {
    let case = |name, is_new, rank, now_ms, is_due| Case {
        name,
        is_new,
        rank,
        now_ms,
        is_due,
    };
    let cases = [
        case("a young record", true, Some(0), 999, false),
        case("an old record", true, Some(0), 1_000, true),
        case("the next rank waits", true, Some(1), 1_099, false),
        case("the next rank takes over", true, Some(1), 1_100, true),
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
        let (mut scheduler, ledger) = scheduler(case.is_new);
        scheduler.on_end_read(case.now_ms);
        let due_records = scheduler.due_records(&ledger, case.now_ms, |name| name.and(case.rank));
        let expected = ledger.keep_record(&office()).map(Record::Keep);
        let expected: Vec<Record> = expected.into_iter().filter(|_| case.is_due).collect();
        assert_eq!(due_records, expected, "{}", case.name);
    }
}

#[test]
fn can_wait_for_its_own_append_and_restart_the_interval_when_it_is_read_back() {
    let (mut scheduler, mut ledger) = scheduler(true);
    let rank = |name: Option<&CustomerName>| name.map(|_| 0);
    scheduler.on_end_read(1_000);
    let record = scheduler.due_records(&ledger, 1_000, rank).pop().unwrap();
    scheduler.on_end_read(1_050);
    assert!(scheduler.due_records(&ledger, 1_050, rank).is_empty());
    // The answer to the append was lost and no record was read back, so the append is due again.
    scheduler.on_end_read(1_100);
    assert_eq!(scheduler.due_records(&ledger, 1_100, rank).len(), 1);
    ledger.apply(1, &record);
    scheduler.on_record(&ledger, &record, true, 1_120);
    scheduler.on_end_read(2_119);
    assert!(scheduler.due_records(&ledger, 2_119, rank).is_empty());
    scheduler.on_end_read(2_120);
    assert_eq!(scheduler.due_records(&ledger, 2_120, rank).len(), 1);
}

#[test]
fn can_resume_from_a_pause_without_appending_what_others_appended() {
    // A process is paused for an hour while others append every version again. When it resumes,
    // each record looks old. It must not append before it has read to the end of the log, or every
    // resumed process would append everything at once.
    let (mut scheduler, ledger) = scheduler(true);
    scheduler.on_end_read(10);
    assert!(
        scheduler
            .due_records(&ledger, 3_600_000, |_| Some(0))
            .is_empty()
    );
    scheduler.on_end_read(3_600_000);
    assert!(
        !scheduler
            .due_records(&ledger, 3_600_000, |_| Some(0))
            .is_empty()
    );
}

#[test]
fn can_ignore_the_record_of_an_old_version() {
    // A delayed keep record of version 1 is read after version 2 was accepted. If it counted as a
    // fresh record of the current version, version 2 would expire from the log.
    let (mut scheduler, mut ledger) = scheduler(true);
    let late = ledger.keep_record(&office()).map(Record::Keep).unwrap();
    let second = publish(&mut ledger, &office());
    scheduler.on_record(&ledger, &second, true, 10);
    ledger.apply(2, &late);
    scheduler.on_record(&ledger, &late, true, 900);
    scheduler.on_end_read(1_010);
    let due_records = scheduler.due_records(&ledger, 1_010, |name| name.map(|_| 0));
    assert!(
        matches!(&due_records[..], [Record::Keep(keep)] if keep.version == 2),
        "{due_records:?}"
    );
}

#[test]
fn can_append_the_list_and_a_few_versions_at_a_time() {
    let mut ledger = Ledger::starting_at(0);
    for n in 0..5 {
        let name = CustomerName::new(&format!("c{n}")).unwrap();
        publish(&mut ledger, &name);
    }
    let mut scheduler = KeepScheduler::new(SETTINGS);
    scheduler.on_end_read(7);
    let mut kept = Vec::new();
    loop {
        let due_records = scheduler.due_records(&ledger, 7, |_| Some(0));
        assert!(due_records.len() <= SETTINGS.records_max);
        if due_records.is_empty() {
            break;
        }
        kept.extend(due_records);
    }
    assert!(matches!(&kept[0], Record::Customers(list) if list.names.len() == 5));
    assert_eq!(kept.len(), 6);
}

#[test]
fn can_derive_times_from_the_retention() {
    let settings = KeepSettings::for_retention(3_600_000);
    let last_ms = settings.interval_ms + u64::from(settings.ranks) * settings.rank_delay_ms;
    assert!(last_ms <= 1_800_000);
    assert!(settings.end_read_age_ms_max < settings.rank_delay_ms);
}
