//! Tests of usage reports with records that arrive late, twice or out of order, and with readers
//! that lag, restart or miss a part of the log.

use std::collections::{BTreeMap, HashMap};

use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult};
use usage::{
    Change, CustomerCount, CustomerSeries, Outcome, Report, Sender, Tally, UsageLedger,
    UsageRecord, UtcClock, Window, WindowCounts, WindowSettings,
};

const SETTINGS: WindowSettings = WindowSettings {
    length_ms: 5_000,
    due_ms: 10_000,
    seal_after_ms: 5_000,
    abandon_after_ms: 70_000,
};

fn counted(writer: u64, number: u32, window: u64, requests: u32) -> UsageRecord {
    UsageRecord::Counted {
        writer,
        number,
        windows: vec![WindowCounts {
            window: Window(window),
            customers: vec![CustomerCount {
                customer: format!("customer-{}", writer % 2),
                requests,
            }],
        }],
    }
}

fn sealed(window: u64) -> UsageRecord {
    UsageRecord::Sealed {
        window: Window(window),
    }
}

fn ledger(records: &[UsageRecord]) -> UsageLedger {
    let mut ledger = UsageLedger::default();
    for record in records {
        ledger.apply(record.clone());
    }
    ledger
}

fn total(ledger: &UsageLedger, window: u64) -> u64 {
    let mut windows = ledger.windows();
    windows
        .find(|known| known.window == Window(window))
        .map_or(0, |known| known.counts.values().sum())
}

#[test]
fn can_count_each_request_once() {
    // An append gets no answer and is retried, and both copies arrive; another copy arrives after
    // the following batch. The report must count each request once.
    struct Case {
        name: &'static str,
        records: Vec<UsageRecord>,
        total: u64,
    }
    let cases = [
        Case {
            name: "batches of two fronts",
            records: vec![counted(1, 1, 7, 3), counted(2, 1, 7, 4)],
            total: 7,
        },
        Case {
            name: "a batch that arrives twice",
            records: vec![counted(1, 1, 7, 3), counted(1, 1, 7, 3)],
            total: 3,
        },
        Case {
            name: "a repeated batch after the next one",
            records: vec![
                counted(1, 1, 7, 3),
                counted(1, 2, 7, 1),
                counted(1, 1, 7, 3),
            ],
            total: 4,
        },
        Case {
            name: "counts after the seal",
            records: vec![counted(1, 1, 7, 3), sealed(7), counted(1, 2, 7, 1)],
            total: 3,
        },
        Case {
            name: "a second seal",
            records: vec![sealed(7), counted(1, 1, 7, 3), sealed(7)],
            total: 0,
        },
    ];
    for case in cases {
        assert_eq!(
            total(&ledger(&case.records), 7),
            case.total,
            "{}",
            case.name
        );
    }
    let mut late = ledger(&[sealed(7)]);
    assert_eq!(late.apply(counted(1, 1, 7, 3)), Change::Late(3));
}

#[test]
fn can_tell_when_to_seal_a_window_and_send_its_report() {
    let mut ledger = UsageLedger::default();
    ledger.note_window(Window(6));
    ledger.apply(counted(1, 1, 7, 3));
    let none = |_| false;
    let end_ms = SETTINGS.end_ms(Window(7));
    assert_eq!(end_ms, 40_000);
    assert_eq!(ledger.windows_to_seal(&SETTINGS, 39_999), []);
    assert_eq!(
        ledger.windows_to_seal(&SETTINGS, 40_000),
        [Window(6)],
        "a window without requests is not sealed"
    );
    assert_eq!(
        ledger.windows_to_seal(&SETTINGS, 45_000),
        [Window(6), Window(7)]
    );
    assert_eq!(
        ledger.report_to_send(&SETTINGS, 45_000, none),
        None,
        "a report is sent before its window is sealed"
    );
    ledger.apply(sealed(7));
    let report = ledger
        .report_to_send(&SETTINGS, 45_000, none)
        .expect("the window is sealed");
    assert_eq!((report.window, report.counts["customer-1"]), (Window(7), 3));
    assert_eq!(
        ledger.report_to_send(&SETTINGS, 45_000, |window| window == Window(7)),
        None
    );
    ledger.apply(UsageRecord::Reported { window: Window(7) });
    assert_eq!(ledger.report_to_send(&SETTINGS, 45_000, none), None);
    assert_eq!(ledger.windows_to_seal(&SETTINGS, 45_000), [Window(6)]);
    ledger.remove_expired(&SETTINGS, 200_000);
    assert_eq!(ledger.windows().count(), 0);
}

#[test]
fn can_ignore_windows_with_missed_records() {
    // The log is trimmed before a front has read it, so the front knows only some of the counts. A
    // report of these would differ from the report of another front.
    let mut ledger = ledger(&[counted(1, 1, 7, 3), sealed(7), counted(1, 2, 8, 1)]);
    ledger.mark_gap(Window(9));
    ledger.apply(sealed(8));
    assert_eq!(ledger.report_to_send(&SETTINGS, 48_000, |_| false), None);
    assert_eq!(
        ledger.windows_to_seal(&SETTINGS, 60_000),
        [Window(9), Window(10)]
    );
}

#[test]
fn can_put_counts_into_numbered_batches() {
    let mut tally = Tally::default();
    assert_eq!(tally.next_batch(), None);
    tally.note(Window(7), "a");
    tally.note(Window(8), "b");
    tally.note(Window(7), "a");
    let first = tally.next_batch().expect("there are counts");
    assert_eq!(first.number, 1);
    assert_eq!(first.windows[0].customers[0].requests, 2);
    assert!(tally.is_empty());
    tally.note(Window(8), "b");
    assert_eq!(tally.next_batch().expect("there are counts").number, 2);
}

#[test]
fn can_pause_after_reports_that_were_not_accepted() {
    let report = Report {
        window: Window(7),
        counts: BTreeMap::new(),
    };
    let mut sender = Sender::default();
    assert!(sender.begin(&report, 1_000));
    assert!(!sender.begin(&report, 1_000), "two reports are in progress");
    sender.finish(Outcome::NotAccepted, 1_000, 0);
    assert!(!sender.is_ready(1_050));
    assert!(sender.begin(&report, 1_200));
    sender.finish(Outcome::NotAccepted, 1_200, u64::MAX);
    assert!(
        sender.is_ready(1_700),
        "the pause exceeds twice the first one"
    );
    assert!(sender.begin(&report, 1_700));
    sender.finish(Outcome::Accepted, 1_700, 0);
    assert!(sender.has_sent(Window(7)) && sender.is_ready(1_700));
}

#[test]
fn can_count_hundreds_of_customers_in_a_bounded_number_of_series() {
    // One customer sends half of all requests, three hundred customers send the other half.
    let mut series = CustomerSeries::default();
    let mut large_before = 0;
    for request in 0..6_000 {
        let small = format!("small-{}", request % 300);
        series.note("large");
        series.note(&small);
        let rows = series.rows();
        let large = rows.iter().find(|row| row.0 == "large");
        let large = large.map_or(0, |row| row.1);
        assert!(
            large >= large_before,
            "the counter of the large customer decreased"
        );
        large_before = large;
    }
    let rows = series.rows();
    assert!(rows.len() <= 17, "{}", rows.len());
    assert!(large_before > 5_000, "{large_before}");
    assert_eq!(rows.iter().map(|row| row.1).sum::<u64>(), 12_000);
}

#[test]
fn can_tell_utc_while_the_wall_clock_steps() {
    // The wall clock of a VM is two seconds ahead for five seconds. A front that followed it would
    // seal a window before its end.
    let mut clock = UtcClock::default();
    assert_eq!(clock.at_ms(5), None);
    let steady_ms = |second: u64| second * 1_000;
    for second in 0..90 {
        let step_ms = match second {
            40..45 => 2_000,
            _ => 0,
        };
        clock.sample(1_000_000 + steady_ms(second) + step_ms, steady_ms(second));
        let utc_ms = clock.at_ms(steady_ms(second));
        assert_eq!(
            utc_ms,
            Some(1_000_000 + steady_ms(second)),
            "second {second}"
        );
    }
}

/// An event at one of the fronts that share a log.
#[derive(Clone, Debug)]
enum Event {
    /// A batch of a front arrives, once or twice.
    Count {
        writer: u8,
        requests: u8,
        twice: bool,
    },
    /// An earlier batch arrives again.
    Repeat { at: u8 },
    /// A seal arrives.
    Seal,
    /// A front reads the next records.
    Read { reader: u8, records: u8 },
    /// A front restarts and reads the log from its beginning.
    Restart { reader: u8 },
    /// A front that believes that it holds the lease sends a report.
    Send { reader: u8 },
}

impl Arbitrary for Event {
    fn arbitrary(g: &mut Gen) -> Self {
        let small = |g: &mut Gen| u8::arbitrary(g) % 4;
        match u8::arbitrary(g) % 12 {
            0..3 => Event::Count {
                writer: small(g),
                requests: 1 + small(g),
                twice: bool::arbitrary(g),
            },
            3 => Event::Repeat {
                at: u8::arbitrary(g),
            },
            4 => Event::Seal,
            5..9 => Event::Read {
                reader: small(g),
                records: small(g),
            },
            9 => Event::Restart { reader: small(g) },
            _ => Event::Send { reader: small(g) },
        }
    }
}

const WINDOW: u64 = 7;
/// Long after the end of the window, and before its report is abandoned.
const NOW_MS: u64 = 50_000;

/// Maps the records that a front has read to the report that it sends.
type Implementation = fn(&[UsageRecord]) -> Option<Report>;

fn correct(read: &[UsageRecord]) -> Option<Report> {
    ledger(read).report_to_send(&SETTINGS, NOW_MS, |_| false)
}

/// Faulty: sends the counts so far, whether or not the window is sealed.
fn sends_before_the_seal(read: &[UsageRecord]) -> Option<Report> {
    let mut unsealed: Vec<UsageRecord> = read.to_vec();
    unsealed.push(sealed(WINDOW));
    correct(&unsealed)
}

/// Faulty: treats the newest seal as the valid one.
fn follows_the_newest_seal(read: &[UsageRecord]) -> Option<Report> {
    let is_seal = |record: &UsageRecord| matches!(record, UsageRecord::Sealed { .. });
    let newest = read.iter().rposition(is_seal)?;
    let kept = read.iter().enumerate();
    let kept = kept.filter(|(at, record)| *at == newest || !is_seal(record));
    let kept: Vec<UsageRecord> = kept.map(|(_, record)| record.clone()).collect();
    correct(&kept)
}

/// Faulty: counts batches after the seal.
fn counts_after_the_seal(read: &[UsageRecord]) -> Option<Report> {
    let is_seal = |record: &UsageRecord| matches!(record, UsageRecord::Sealed { .. });
    read.iter().position(is_seal)?;
    let mut moved: Vec<UsageRecord> = read.iter().filter(|r| !is_seal(r)).cloned().collect();
    moved.push(sealed(WINDOW));
    correct(&moved)
}

/// Faulty: counts a batch as often as it arrives.
fn counts_repeated_batches(read: &[UsageRecord]) -> Option<Report> {
    let mut number = 0;
    let renumbered = read.iter().cloned().map(|mut record| {
        if let UsageRecord::Counted { number: own, .. } = &mut record {
            number += 1;
            *own = number;
        }
        record
    });
    let renumbered: Vec<UsageRecord> = renumbered.collect();
    correct(&renumbered)
}

/// Runs the events; returns the reports that were sent and the number of requests before the first
/// seal.
fn run_events(implementation: Implementation, events: &[Event]) -> (Vec<Report>, u64) {
    let mut log: Vec<UsageRecord> = Vec::new();
    let mut numbers: HashMap<u8, u32> = HashMap::new();
    let mut read = [0_usize; 4];
    let mut sent = Vec::new();
    let (mut is_sealed, mut requests_before) = (false, 0);
    for event in events {
        match event {
            Event::Count {
                writer,
                requests,
                twice,
            } => {
                let number = numbers.entry(*writer).or_insert(0);
                *number += 1;
                let record = counted(u64::from(*writer), *number, WINDOW, u32::from(*requests));
                log.push(record.clone());
                log.extend(twice.then_some(record));
                requests_before += u64::from(*requests) * u64::from(!is_sealed);
            }
            Event::Repeat { at } => {
                let known: Vec<usize> = (0..log.len())
                    .filter(|at| matches!(log[*at], UsageRecord::Counted { .. }))
                    .collect();
                if !known.is_empty() {
                    log.push(log[known[usize::from(*at) % known.len()]].clone());
                }
            }
            Event::Seal => {
                is_sealed = true;
                log.push(sealed(WINDOW));
            }
            Event::Read { reader, records } => {
                let at = &mut read[usize::from(*reader)];
                *at = (*at + usize::from(*records)).min(log.len());
            }
            Event::Restart { reader } => read[usize::from(*reader)] = 0,
            Event::Send { reader } => {
                sent.extend(implementation(&log[..read[usize::from(*reader)]]))
            }
        }
    }
    (sent, requests_before)
}

fn is_consistent(implementation: Implementation, events: &[Event]) -> bool {
    let (sent, requests) = run_events(implementation, events);
    let whole = |report: &Report| report.counts.values().sum::<u64>() == requests;
    sent.windows(2).all(|pair| pair[0] == pair[1]) && sent.iter().all(whole)
}

fn check(implementation: Implementation) -> Result<(), TestResult> {
    let property = move |events: Vec<Event>| -> bool { is_consistent(implementation, &events) };
    struct Property<F>(F);
    impl<F: Fn(Vec<Event>) -> bool + 'static> quickcheck::Testable for Property<F> {
        fn result(&self, g: &mut Gen) -> TestResult {
            TestResult::from_bool((self.0)(Vec::arbitrary(g)))
        }
    }
    let mut checks = QuickCheck::new()
        .tests(4_000)
        .rng(Gen::from_size_and_seed(60, 11));
    checks.quicktest(Property(property)).map(|_| ())
}

#[test]
fn no_two_reports_of_a_window_differ() {
    // Fronts lag, restart and send at the same time, and batches arrive twice or late. All reports
    // of a window must be equal and contain exactly the counts before the first seal.
    assert!(check(correct).is_ok());
}

#[test]
fn the_check_detects_faulty_implementations() {
    // Guards against a check that passes for any implementation.
    struct Case {
        name: &'static str,
        implementation: Implementation,
    }
    let cases = [
        Case {
            name: "sends before the seal",
            implementation: sends_before_the_seal,
        },
        Case {
            name: "follows the newest seal",
            implementation: follows_the_newest_seal,
        },
        Case {
            name: "counts after the seal",
            implementation: counts_after_the_seal,
        },
        Case {
            name: "counts repeated batches",
            implementation: counts_repeated_batches,
        },
    ];
    for case in cases {
        assert!(
            check(case.implementation).is_err(),
            "not detected: {}",
            case.name
        );
    }
}
