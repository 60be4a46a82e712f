//! Views that result from messages and reads of the VM list.
#![allow(clippy::unwrap_used)] // clippy.toml exempts test functions only, not their helpers.

mod common;

use common::*;
use membership::{ListedVm, Liveness, MemberSettings, Members, UpdateOutcome};
use protocol::ProcessRole::Agent;
use protocol::{HostedService, Status};
use types::{Incarnation, NodeId};

/// Applies one event about agent 1. `s` is a status, `S` a status that says "leaving", `h` any
/// datagram, `l` a gossiped leaving, each with an incarnation; `v` is a read of the list that says
/// "live", `L` one that says "leaving", `-` one without the VM.
fn apply(members: &mut Members, kind: char, incarnation: u64, now_ms: u64) {
    let from = node(1, incarnation);
    match kind {
        's' | 'S' => drop(members.on_status(from, Agent, &status(1, kind == 'S'), now_ms)),
        'h' => drop(members.on_datagram(from, Agent, now_ms)),
        'l' => drop(members.on_leaving(from, now_ms)),
        'v' | 'L' => drop(members.on_list(&[listed(1, kind == 'L')], now_ms)),
        _ => drop(members.on_list(&[], now_ms)),
    }
}

#[test]
fn can_follow_a_vm_from_its_first_message_to_its_return() {
    struct Case {
        name: &'static str,
        /// One character per event, a digit for the incarnation, `+` for the lag of the list.
        events: &'static str,
        accepting_incarnation: Option<u64>,
    }
    let case = |name, events, accepting_incarnation| Case {
        name,
        events,
        accepting_incarnation,
    };
    let cases = [
        case(
            "an agent that answers is used without a list",
            "s1----",
            Some(1),
        ),
        case(
            "a listed agent that never answered accepts no work",
            "v",
            None,
        ),
        case(
            "a gossiped leaving overrides later statuses",
            "s1l1s1",
            None,
        ),
        case(
            "a gossiped leaving overrides the first status",
            "l1s1",
            None,
        ),
        case(
            "the list's leaving stays for an incarnation older than its lag",
            "s1+Lv",
            None,
        ),
        case(
            "the list's leaving applies to a new incarnation at once",
            "Ls1",
            None,
        ),
        case(
            "the list's leaving ends if it was about the old incarnation",
            "Ls1v",
            Some(1),
        ),
        case(
            "a VM that returns is live although listed as leaving",
            "s1+Ls2",
            Some(2),
        ),
        case(
            "a VM is leaving if listed so for longer than the lag",
            "s1+Ls2+L",
            None,
        ),
        case(
            "a delayed status does not restore an old incarnation",
            "s1l2s1",
            None,
        ),
        case(
            "a left incarnation is remembered after the list drops it",
            "s1l1----s1",
            None,
        ),
    ];
    for case in cases {
        let mut members = entry();
        let mut now_ms = 0;
        let mut events = case.events.chars().peekable();
        while let Some(kind) = events.next() {
            let digit = events.next_if(char::is_ascii_digit);
            let incarnation = digit.and_then(|digit| digit.to_digit(10)).unwrap_or(0);
            now_ms += if kind == '+' { 30_000 } else { 1 };
            if kind != '+' {
                apply(&mut members, kind, u64::from(incarnation), now_ms);
            }
        }
        let expected: Vec<NodeId> = case
            .accepting_incarnation
            .iter()
            .map(|&incarnation| node(1, incarnation))
            .collect();
        assert_eq!(
            accepting_nodes(&mut members, now_ms),
            expected,
            "{}",
            case.name
        );
    }
}

#[test]
fn can_recognize_earlier_incarnations() {
    let mut members = entry();
    members.on_datagram(node(1, 7), Agent, 0);
    let known = Incarnation(7);
    let older = members.on_datagram(node(1, 6), Agent, 1);
    assert_eq!(older, UpdateOutcome::StaleIncarnation { known });
    let leaving =
        |members: &mut Members, incarnation| members.on_leaving(node(60_000, incarnation), 0);
    assert_eq!(
        members.on_own_incarnation(Incarnation(99)),
        UpdateOutcome::Unchanged
    );
    assert_eq!(leaving(&mut members, 100), UpdateOutcome::OwnLeaving);
    assert_eq!(
        members.on_own_incarnation(Incarnation(100)),
        UpdateOutcome::OwnIncarnationRaised
    );
    assert_eq!(
        leaving(&mut members, 400),
        UpdateOutcome::OwnIncarnationRaised
    );
    assert_eq!(members.own().node.incarnation, Incarnation(401));
}

#[test]
fn can_remove_a_vm_that_is_neither_listed_nor_answers() {
    let mut members = entry();
    members.on_list(&[listed(1, false)], 0);
    (1..=2).for_each(|read| drop(members.on_list(&[], read)));
    assert_eq!(members.snapshot(2).members.len(), 1);
    members.on_list(&[], 3);
    assert!(members.snapshot(4).members.is_empty());
}

fn probe(members: &mut Members, from_ms: u64, until_ms: u64, answers: impl Fn(u16) -> bool) {
    for now_ms in (from_ms..=until_ms).step_by(100) {
        let due = members.due_probes(now_ms);
        for number in (1..=10).filter(|&n| due.contains(&address(n)) && answers(n)) {
            members.on_status(node(number, 1), Agent, &status(number, false), now_ms);
        }
        members.snapshot(now_ms);
    }
}

/// Guards against refusing all calls after an interruption of the entry's own network. Agents stop
/// answering and are down after five missed answers; one agent or one failure domain is dropped,
/// but if most stop at the same time, the entry keeps them as suspects.
#[test]
fn can_distinguish_dead_agents_from_a_fault_of_its_own_network() {
    struct Case {
        name: &'static str,
        answers: fn(u16) -> bool,
        isolated: bool,
        live: usize,
        suspect: usize,
    }
    let case = |name, answers, isolated, live, suspect| Case {
        name,
        answers,
        isolated,
        live,
        suspect,
    };
    let cases = [
        case("one agent dies", |n| n != 4, false, 9, 0),
        case("a failure domain fails", |n| n % 3 != 1, false, 6, 0),
        case(
            "most agents stop answering at the same time",
            |n| n <= 3,
            true,
            3,
            7,
        ),
    ];
    let (customer, service) = service();
    for case in cases {
        let mut members = entry();
        let vms: Vec<ListedVm> = (1..=10).map(|number| listed(number, false)).collect();
        members.on_list(&vms, 0);
        probe(&mut members, 0, 5_000, |_| true);
        let detection_ms = members.settings().detection_ms(10);
        probe(&mut members, 5_100, 5_100 + detection_ms, case.answers);
        let snapshot = members.snapshot(8_200);
        let replicas = snapshot.replicas(&customer, &service);
        let count = |standing| replicas.iter().filter(|r| r.liveness == standing).count();
        let observed = (
            snapshot.isolated,
            count(Liveness::Live),
            count(Liveness::Suspect),
        );
        assert_eq!(
            observed,
            (case.isolated, case.live, case.suspect),
            "{}",
            case.name
        );
        probe(&mut members, 8_300, 9_800, |_| true);
        assert_eq!(
            accepting_nodes(&mut members, 9_800).len(),
            10,
            "{}: after the recovery",
            case.name
        );
    }
    assert_eq!(MemberSettings::default().detection_ms(24), 3_000);
    assert_eq!(MemberSettings::default().probe_period_ms(600), 25_000);
}

checks::seeded! {
    /// Reads of the VM list are excluded, because their effect depends on when they happen.
    fn messages_in_any_order_give_one_view(events: Vec<(u8, u64)>, rotation: usize) -> bool {
        let mut events: Vec<(char, u64)> = events
            .into_iter()
            .map(|(kind, incarnation)| (['s', 'S', 'h', 'l'][usize::from(kind % 4)], incarnation % 3 + 1))
            .collect();
        let view = |events: &[(char, u64)]| {
            let mut members = entry();
            events.iter().for_each(|&(kind, incarnation)| apply(&mut members, kind, incarnation, 0));
            apply(&mut members, 's', 3, 0);
            members.snapshot(0)
        };
        let forward = view(&events);
        let offset = rotation % events.len().max(1);
        events.rotate_left(offset);
        events.reverse();
        view(&events) == forward
    }

    /// All events happen within the time for which a left incarnation is remembered.
    fn a_leaving_incarnation_never_accepts_work_again(events: Vec<(u8, u64, u16)>) -> bool {
        let (mut members, mut left_nodes, mut now_ms) = (entry(), Vec::new(), 0);
        events.into_iter().all(|(kind, incarnation, wait_ms)| {
            let kind = ['s', 'S', 'h', 'l', 'v', 'L', '-'][usize::from(kind % 7)];
            let incarnation = incarnation % 3 + 1;
            now_ms += u64::from(wait_ms) % 5_000;
            apply(&mut members, kind, incarnation, now_ms);
            if matches!(kind, 'S' | 'l') {
                left_nodes.push(node(1, incarnation));
            }
            !accepting_nodes(&mut members, now_ms).iter().any(|node| left_nodes.contains(node))
        })
    }
}

// Guards against services that disappear while a datagram is lost. The agent's status comes in
// several parts; services of the other parts stay, and services of parts that no longer exist go.
#[test]
fn can_assemble_a_status_from_its_parts() {
    let part = |part: u8, parts, names: &[&str]| {
        let template = status(1, false);
        let hosted = |name: &&str| HostedService {
            service: name.parse().unwrap(),
            ..template.hosted[0].clone()
        };
        Status {
            hosted: names.iter().map(hosted).collect(),
            part,
            parts,
            ..template
        }
    };
    let cases: [(Status, &[&str]); 5] = [
        (part(0, 3, &["a", "b"]), &["a", "b"]),
        (part(2, 3, &["d"]), &["a", "b", "d"]),
        (part(0, 3, &["b", "c"]), &["b", "c", "d"]),
        (part(0, 2, &["b"]), &["b"]),
        (part(0, 1, &[]), &[]),
    ];
    let mut members = entry();
    for (status, expected) in cases {
        members.on_status(node(1, 1), Agent, &status, 0);
        let snapshot = members.snapshot(0);
        let mut names: Vec<_> = snapshot.services().map(|(_, name)| name.as_str()).collect();
        names.sort_unstable();
        assert_eq!(names, expected);
    }
}
