//! Verdicts on the records of short logs, and what a reader holds after each log.

use config::{AcceptedVersion, Customers, Keep, Ledger, Publish, Record, Refusal, Verdict};
use types::CustomerName;

fn office() -> CustomerName {
    CustomerName::new("office").expect("a name")
}

fn text(weight: u32) -> String {
    format!("schema = 1\ncustomer = \"office\"\n[limits]\nweight = {weight}\n")
}

fn publish(base: u64, id: &str, weight: u32) -> Record {
    Record::Publish(Publish {
        customer: office(),
        base,
        base_id: None,
        id: id.to_owned(),
        rules: 1,
        text: text(weight),
    })
}

fn publish_with(change: impl Fn(&mut Publish)) -> Record {
    let mut publish = Publish::based_on(office(), None, "x", &text(1));
    change(&mut publish);
    Record::Publish(publish)
}

fn keep(version: u64, id: &str, weight: u32, through: Option<u64>) -> Record {
    Record::Keep(Keep {
        customer: office(),
        version,
        id: id.to_owned(),
        rules: 1,
        text: text(weight),
        through,
    })
}

fn customers(through: u64, names: &[&str]) -> Record {
    let names = names
        .iter()
        .map(|name| CustomerName::new(name).expect("a name"));
    Record::Customers(Customers {
        through,
        names: names.collect(),
    })
}

fn weight(accepted: &AcceptedVersion) -> u32 {
    accepted.config.limits.weight
}

/// Version and weight that the ledger holds; 0 and 0 if the customer has no version.
fn held(ledger: &Ledger) -> (u64, u32) {
    let current = ledger.current(&office());
    current.map_or((0, 0), |accepted| (accepted.version, weight(accepted)))
}

struct Case {
    name: &'static str,
    first_offset: u64,
    /// Records from the first offset on, each with the label of its expected verdict.
    log: Vec<(Record, &'static str)>,
    /// Version and weight after the last record, and whether the version is certain.
    held: (u64, u32, bool),
}

/// Short label of a verdict.
fn label(verdict: &Verdict) -> String {
    match verdict {
        Verdict::Accepted { version } => format!("accepted {version}"),
        Verdict::Learned { version } => format!("learned {version}"),
        Verdict::Refused(refusal) => match refusal {
            Refusal::Outdated { .. } => "outdated".to_owned(),
            Refusal::Ahead { .. } => "ahead".to_owned(),
            Refusal::OtherBase { .. } => "other base".to_owned(),
            Refusal::BaseUnnamed { .. } => "base unnamed".to_owned(),
            Refusal::BadId => "bad id".to_owned(),
            Refusal::Invalid(_) => "invalid".to_owned(),
        },
        Verdict::Undecided => "undecided".to_owned(),
        Verdict::Covered => "covered".to_owned(),
        Verdict::RulesTooNew { .. } => "rules too new".to_owned(),
        Verdict::Known => "known".to_owned(),
        Verdict::Conflict { .. } => "conflict".to_owned(),
        Verdict::Unreadable(_) => "unreadable".to_owned(),
        Verdict::UnknownKind => "unknown kind".to_owned(),
        Verdict::AlreadyRead => "already read".to_owned(),
    }
}

fn run(case: &Case) {
    let mut ledger = Ledger::starting_at(case.first_offset);
    for (offset, (record, expected)) in (case.first_offset..).zip(&case.log) {
        let verdict = ledger.apply(offset, record);
        assert_eq!(label(&verdict), *expected, "{}: offset {offset}", case.name);
    }
    let (version, weight) = held(&ledger);
    let certain = ledger.is_certain(&office());
    assert_eq!((version, weight, certain), case.held, "{}", case.name);
}

#[test]
fn can_judge_publishes_by_the_order_of_the_log() {
    let cases = [
        Case {
            name: "two operators race: the first in the log wins, the other is refused",
            first_offset: 0,
            log: vec![
                (publish(0, "a", 1), "accepted 1"),
                (publish(1, "b", 2), "accepted 2"),
                (publish(1, "c", 3), "outdated"),
            ],
            held: (2, 2, true),
        },
        Case {
            name: "an append repeated after a lost answer counts once and has the same verdict",
            first_offset: 0,
            log: vec![
                (publish(0, "a", 1), "accepted 1"),
                (publish(0, "a", 1), "accepted 1"),
                (publish(1, "b", 2), "accepted 2"),
                (publish(0, "a", 1), "accepted 1"),
                (publish(1, "b", 2), "accepted 2"),
            ],
            held: (2, 2, true),
        },
        Case {
            name: "a record with the same id and another text is not a duplicate",
            first_offset: 0,
            log: vec![
                (publish(0, "a", 1), "accepted 1"),
                (publish(0, "a", 2), "outdated"),
            ],
            held: (1, 1, true),
        },
        Case {
            name: "the id of the current version is used again for the next one",
            first_offset: 0,
            log: vec![
                (publish(0, "a", 1), "accepted 1"),
                (publish(1, "a", 2), "bad id"),
            ],
            held: (1, 1, true),
        },
        Case {
            name: "an empty id and an id that is too long",
            first_offset: 0,
            log: vec![
                (publish(0, "", 1), "bad id"),
                (publish(0, &"x".repeat(65), 1), "bad id"),
            ],
            held: (0, 0, true),
        },
        Case {
            name: "a base above the current version, up to the largest number",
            first_offset: 0,
            log: vec![
                (publish(4, "a", 1), "ahead"),
                (publish(u64::MAX, "b", 1), "ahead"),
            ],
            held: (0, 0, true),
        },
        Case {
            name: "the base has the right number but another id: a copy of a refused publish",
            first_offset: 0,
            log: vec![
                (
                    publish_with(|publish| {
                        (publish.base, publish.base_id) = (1, Some("z".to_owned()))
                    }),
                    "ahead",
                ),
                (publish(0, "a", 1), "accepted 1"),
                (
                    publish_with(|publish| {
                        (publish.base, publish.base_id) = (1, Some("z".to_owned()))
                    }),
                    "other base",
                ),
            ],
            held: (1, 1, true),
        },
        Case {
            name: "an invalid text and a text of another customer",
            first_offset: 0,
            log: vec![
                (
                    publish_with(|publish| publish.text = "schema = 1".to_owned()),
                    "invalid",
                ),
                (
                    publish_with(|publish| publish.text = publish.text.replace("office", "other")),
                    "invalid",
                ),
                (publish(0, "a", 1), "accepted 1"),
            ],
            held: (1, 1, true),
        },
        Case {
            name: "rules 2 require the base's id, rules 1 do not: the record's rules version decides",
            first_offset: 0,
            log: vec![
                (publish(0, "a", 1), "accepted 1"),
                (
                    publish_with(|publish| (publish.base, publish.rules) = (1, 2)),
                    "base unnamed",
                ),
                (
                    publish_with(|publish| (publish.base, publish.rules) = (1, 1)),
                    "accepted 2",
                ),
            ],
            held: (2, 1, true),
        },
        Case {
            name: "a kind that this binary does not know",
            first_offset: 0,
            log: vec![
                (Record::Unknown, "unknown kind"),
                (publish(0, "a", 1), "accepted 1"),
            ],
            held: (1, 1, true),
        },
    ];
    cases.iter().for_each(run);
}

#[test]
fn can_begin_in_the_middle_of_the_log() {
    let cases = [
        Case {
            name: "no anchor: a publish is not judged, whatever its base",
            first_offset: 50,
            log: vec![
                (publish(0, "a", 1), "undecided"),
                (publish(7, "b", 2), "undecided"),
            ],
            held: (0, 0, false),
        },
        Case {
            name: "an anchor behind the publishes judges them",
            first_offset: 50,
            log: vec![
                (publish(7, "b", 2), "undecided"),
                (publish(7, "c", 3), "undecided"),
                (keep(7, "a", 1, Some(50)), "learned 8"),
                (publish(8, "d", 4), "accepted 9"),
            ],
            held: (9, 4, true),
        },
        Case {
            name: "an anchor that includes some of the publishes",
            first_offset: 50,
            log: vec![
                (publish(7, "b", 2), "undecided"),
                (publish(8, "c", 3), "undecided"),
                (keep(8, "b", 2, Some(51)), "learned 9"),
            ],
            held: (9, 3, true),
        },
        Case {
            name: "a delayed keep of an old version from before the start: proved, not current",
            first_offset: 50,
            log: vec![
                (keep(7, "a", 1, Some(49)), "learned 7"),
                (publish(7, "b", 2), "undecided"),
            ],
            held: (7, 1, false),
        },
        Case {
            name: "a keep without an offset",
            first_offset: 50,
            log: vec![
                (keep(7, "a", 1, None), "learned 7"),
                (keep(6, "z", 9, None), "known"),
            ],
            held: (7, 1, false),
        },
        Case {
            name: "a keep that makes a statement about offsets after its own",
            first_offset: 50,
            log: vec![
                (keep(7, "a", 1, Some(99)), "learned 7"),
                (publish(7, "b", 2), "undecided"),
            ],
            held: (7, 1, false),
        },
        Case {
            name: "a delayed keep of an old version does not lower the current one",
            first_offset: 0,
            log: vec![
                (publish(0, "a", 1), "accepted 1"),
                (publish(1, "b", 2), "accepted 2"),
                (keep(1, "a", 1, Some(1)), "known"),
                (publish(1, "c", 3), "outdated"),
                (publish(2, "d", 4), "accepted 3"),
            ],
            held: (3, 4, true),
        },
        Case {
            name: "a keep that contradicts the log",
            first_offset: 0,
            log: vec![
                (publish(0, "a", 1), "accepted 1"),
                (keep(1, "a", 9, Some(1)), "conflict"),
                (keep(5, "x", 9, Some(2)), "conflict"),
            ],
            held: (1, 1, true),
        },
        Case {
            name: "the list of customers shows that an unlisted customer has no version",
            first_offset: 50,
            log: vec![
                (customers(50, &["other"]), "known"),
                (publish(0, "a", 1), "accepted 1"),
            ],
            held: (1, 1, true),
        },
        Case {
            name: "the list of customers after the publish",
            first_offset: 50,
            log: vec![
                (publish(0, "a", 1), "undecided"),
                (customers(50, &[]), "known"),
            ],
            held: (1, 1, true),
        },
        Case {
            name: "a list from before the start has no effect",
            first_offset: 50,
            log: vec![
                (customers(49, &[]), "known"),
                (publish(0, "a", 1), "undecided"),
            ],
            held: (0, 0, false),
        },
        Case {
            name: "a listed customer may have a version",
            first_offset: 50,
            log: vec![
                (customers(50, &["office"]), "known"),
                (publish(0, "a", 1), "undecided"),
            ],
            held: (0, 0, false),
        },
        Case {
            name: "unknown rules: the version stays until a keep record states the outcome",
            first_offset: 0,
            log: vec![
                (publish(0, "a", 1), "accepted 1"),
                (
                    publish_with(|publish| (publish.base, publish.rules) = (1, 99)),
                    "rules too new",
                ),
                (publish(1, "c", 3), "undecided"),
                (keep(1, "a", 1, Some(1)), "known"),
                (keep(2, "c", 3, Some(3)), "learned 2"),
                (publish(2, "d", 4), "accepted 3"),
            ],
            held: (3, 4, true),
        },
    ];
    cases.iter().for_each(run);
}

#[test]
fn can_stop_judging_when_unread_records_were_removed_from_the_log() {
    // A process is paused for longer than the log's retention, and an operator publishes on a
    // version that the process has not seen. If the process took its own version for the current
    // one, it could accept a publish that every other reader refused.
    let mut ledger = Ledger::starting_at(0);
    ledger.apply(0, &publish(0, "a", 1));
    ledger.skip_to(500);
    assert_eq!(held(&ledger), (1, 1));
    assert!(!ledger.is_complete());
    assert_eq!(ledger.apply(500, &publish(1, "b", 2)), Verdict::Undecided);
    assert_eq!(held(&ledger), (1, 1));
    ledger.apply(501, &keep(6, "f", 6, Some(501)));
    assert_eq!(held(&ledger), (6, 6));
    // A gap in the offsets has the same effect as `skip_to`.
    assert_eq!(ledger.apply(600, &publish(6, "g", 7)), Verdict::Undecided);
    assert_eq!(ledger.apply(600, &publish(6, "g", 7)), Verdict::AlreadyRead);
}

#[test]
fn can_adopt_the_versions_of_a_peer_while_the_log_is_unavailable() {
    // A new process starts during an outage of the log and adopts the versions of a peer. When the
    // log is available again, the process reads records that the peer had already read and
    // continues.
    let log = [publish(0, "a", 1), publish(1, "b", 2), publish(2, "c", 3)];
    let mut peer = Ledger::starting_at(0);
    for (offset, record) in (0..).zip(&log) {
        peer.apply(offset, record);
    }
    let keep = peer.keep_record(&office()).unwrap();
    assert_eq!(keep.through, Some(3));
    for first_offset in [0, 1, 2, 3] {
        let mut new = Ledger::starting_at(first_offset);
        assert_eq!(
            new.adopt_customers(&peer.customers_record().unwrap()),
            Verdict::Known
        );
        assert!(!new.is_complete() || first_offset == 0);
        assert_eq!(new.adopt(&keep), Verdict::Learned { version: 3 });
        assert!(new.is_complete());
        for (offset, record) in (0..).zip(&log).skip(first_offset.try_into().unwrap()) {
            let verdict = new.apply(offset, record);
            assert_ne!(verdict, Verdict::Undecided);
            assert_eq!(held(&new), (3, 3));
        }
        assert_eq!(
            new.apply(3, &publish(3, "d", 4)),
            Verdict::Accepted { version: 4 }
        );
        // The peer is behind now; its older version must not replace the newer one.
        assert_eq!(new.adopt(&keep), Verdict::Known);
        assert_eq!(held(&new), (4, 4));
    }
}

#[test]
fn can_report_the_verdict_on_a_publish_that_was_undecided_at_first() {
    let mut ledger = Ledger::starting_at(50);
    ledger.apply(50, &publish(7, "won", 2));
    ledger.apply(51, &publish(7, "lost", 3));
    assert_eq!(ledger.verdict(&office(), "won"), Some(&Verdict::Undecided));
    ledger.apply(52, &keep(7, "before", 1, Some(50)));
    assert_eq!(
        ledger.verdict(&office(), "won"),
        Some(&Verdict::Accepted { version: 8 })
    );
    let refusal = Refusal::Outdated {
        base: 7,
        current: 8,
    };
    assert_eq!(
        ledger.verdict(&office(), "lost"),
        Some(&Verdict::Refused(refusal))
    );
    assert_eq!(ledger.verdict(&office(), "never"), None);
}

#[test]
fn can_bound_the_publishes_that_are_held_back() {
    // A reader without an anchor must not hold back publishes without bound. It no longer judges
    // the ones that it drops, so an anchor from before a dropped publish must not make it certain.
    let mut ledger = Ledger::starting_at(50);
    let padding = format!("# {}\n", "x".repeat(200 * 1024));
    for offset in 50..60 {
        let id = format!("p{offset}");
        let large = publish_with(|publish| {
            (publish.base, publish.id, publish.rules) = (offset - 43, id.clone(), 1);
            publish.text.push_str(&padding);
        });
        assert_eq!(ledger.apply(offset, &large), Verdict::Undecided);
    }
    ledger.apply(60, &keep(7, "before", 1, Some(50)));
    assert_eq!(held(&ledger), (7, 1));
    assert!(!ledger.is_certain(&office()));
    ledger.apply(61, &keep(16, "p58", 1, Some(59)));
    assert_eq!(held(&ledger).0, 17);
}

#[test]
fn errors_when_a_record_cannot_be_read() {
    let mut ledger = Ledger::starting_at(0);
    let large = "x".repeat(config::RECORD_BYTES_MAX + 1);
    let deep = "[".repeat(100_000);
    let other = r#"{"kind":"publish","customer":"Office","base":0,"id":"a","rules":1,"text":""}"#;
    for (offset, data) in (0..).zip(["", "{}", "null", "{\"kind\":7}", other, &large, &deep]) {
        let verdict = ledger.apply_json(offset, data);
        assert!(
            matches!(verdict, Verdict::Unreadable(_)),
            "{data:.40}: {verdict:?}"
        );
    }
    let newer = r#"{"kind":"vote","customer":"office","colour":1}"#;
    assert_eq!(ledger.apply_json(7, newer), Verdict::UnknownKind);
    assert_eq!(ledger.apply_json(7, newer), Verdict::AlreadyRead);
    let plain = r#"{"kind":"publish","customer":"office","base":0,"id":"a","rules":1,"text":
        "schema = 1\ncustomer = \"office\"\n","colour":1}"#;
    assert_eq!(
        ledger.apply_json(8, plain),
        Verdict::Accepted { version: 1 }
    );
}

#[test]
fn can_write_records_that_read_back_the_same() {
    let records = [
        publish(3, "a", 1),
        Record::Publish(Publish::based_on(
            office(),
            None,
            "a",
            "text \u{e9} \"'\\\n",
        )),
        keep(3, "a", 1, Some(9)),
        keep(3, "a", 1, None),
        customers(4, &["a", "b"]),
    ];
    for record in records {
        let json = record.to_json().unwrap();
        assert_eq!(Record::from_json(&json), Ok(record));
    }
    let large = publish_with(|publish| publish.text = "x".repeat(config::TEXT_BYTES_MAX + 1));
    assert!(large.to_json().is_err());
}
