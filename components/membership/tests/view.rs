//! News in, view out.
#![allow(clippy::unwrap_used)] // The exemption of clippy.toml ends at helpers of tests.

mod common;

use common::*;
use membership::{ListedVm, Liveness, MemberSettings, Members, UpdateOutcome};
use protocol::ProcessRole::Agent;
use protocol::{HostedService, Status};
use types::{Incarnation, NodeId};

/// Takes in one piece of news about agent 1: `s` a status, `S` one that says leaving, `h`
/// any datagram, `l` a rumour of leaving, each with the life; `v` the list says live, `L`
/// it says leaving, `-` it leaves the VM out.
fn take(members: &mut Members, kind: char, life: u64, now_ms: u64) {
    let from = node(1, life);
    match kind {
        's' | 'S' => drop(members.on_status(from, Agent, &status(1, kind == 'S'), now_ms)),
        'h' => drop(members.on_datagram(from, Agent, now_ms)),
        'l' => drop(members.on_leaving(from, now_ms)),
        'v' | 'L' => drop(members.on_list(&[listed(1, kind == 'L')], now_ms)),
        _ => drop(members.on_list(&[], now_ms)),
    }
}

#[test]
fn can_follow_a_vm_from_its_first_news_to_its_return() {
    struct Case {
        name: &'static str,
        /// One character a piece of news, a digit for the life, `+` for the list's lag.
        news: &'static str,
        takes_work: Option<u64>,
    }
    let case = |name, news, takes_work| Case {
        name,
        news,
        takes_work,
    };
    let cases = [
        case("answers count without a list", "s1----", Some(1)),
        case(
            "a listed agent that never answered takes no work",
            "v",
            None,
        ),
        case(
            "a rumour of leaving wins over later statuses",
            "s1l1s1",
            None,
        ),
        case("a rumour before the first status wins too", "l1s1", None),
        case(
            "the list's word on a life it must know stays",
            "s1+Lv",
            None,
        ),
        case("its word on a new life holds at once", "Ls1", None),
        case("and ends when it was about the old life", "Ls1v", Some(1)),
        case(
            "a VM that returns is live though listed as leaving",
            "s1+Ls2",
            Some(2),
        ),
        case(
            "unless the list says so for longer than it lags",
            "s1+Ls2+L",
            None,
        ),
        case(
            "a late status does not bring an old life back",
            "s1l2s1",
            None,
        ),
        case(
            "a life that left is known after the list drops it",
            "s1l1----s1",
            None,
        ),
    ];
    for case in cases {
        let mut members = entry();
        let mut now_ms = 0;
        let mut news = case.news.chars().peekable();
        while let Some(kind) = news.next() {
            let digit = news.next_if(char::is_ascii_digit);
            let life = digit.and_then(|digit| digit.to_digit(10)).unwrap_or(0);
            now_ms += if kind == '+' { 30_000 } else { 1 };
            if kind != '+' {
                take(&mut members, kind, u64::from(life), now_ms);
            }
        }
        let wanted: Vec<NodeId> = case.takes_work.iter().map(|&life| node(1, life)).collect();
        assert_eq!(takers(&mut members, now_ms), wanted, "{}", case.name);
    }
}

#[test]
fn can_tell_earlier_lives_apart() {
    let mut members = entry();
    members.on_datagram(node(1, 7), Agent, 0);
    let known = Incarnation(7);
    let older = members.on_datagram(node(1, 6), Agent, 1);
    assert_eq!(older, UpdateOutcome::StaleIncarnation { known });
    let leaving = |members: &mut Members, life| members.on_leaving(node(60_000, life), 0);
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
fn can_drop_a_vm_that_neither_list_nor_answer_shows() {
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

/// The caller sees calls fail before they leave, and only until the stated time.
/// Agents fall silent; each misses five answers and is down. One alone or a failure domain
/// is dropped. When most fall silent at once the entry takes the fault for its own and
/// keeps them, or it would refuse everything until long after its network is back.
#[test]
fn can_tell_dead_agents_from_a_cut_of_its_own() {
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
        case("a failure domain dies", |n| n % 3 != 1, false, 6, 0),
        case("most fall silent at once", |n| n <= 3, true, 3, 7),
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
        let seen = (
            snapshot.isolated,
            count(Liveness::Live),
            count(Liveness::Suspect),
        );
        assert_eq!(
            seen,
            (case.isolated, case.live, case.suspect),
            "{}",
            case.name
        );
        probe(&mut members, 8_300, 9_800, |_| true);
        assert_eq!(takers(&mut members, 9_800).len(), 10, "{}: back", case.name);
    }
    assert_eq!(MemberSettings::default().detection_ms(24), 3_000);
    assert_eq!(MemberSettings::default().probe_period_ms(600), 25_000);
}

checks::seeded! {
    /// The list is left out here: its word depends on when it is read.
    fn news_in_any_order_gives_one_view(news: Vec<(u8, u64)>, turn: usize) -> bool {
        let mut news: Vec<(char, u64)> = news
            .into_iter()
            .map(|(kind, life)| (['s', 'S', 'h', 'l'][usize::from(kind % 4)], life % 3 + 1))
            .collect();
        let view = |news: &[(char, u64)]| {
            let mut members = entry();
            news.iter().for_each(|&(kind, life)| take(&mut members, kind, life, 0));
            take(&mut members, 's', 3, 0);
            members.snapshot(0)
        };
        let forward = view(&news);
        let middle = turn % news.len().max(1);
        news.rotate_left(middle);
        news.reverse();
        view(&news) == forward
    }

    /// All within the time for which a life that left is remembered.
    fn a_leaving_life_never_takes_work_again(news: Vec<(u8, u64, u16)>) -> bool {
        let (mut members, mut left, mut now_ms) = (entry(), Vec::new(), 0);
        news.into_iter().all(|(kind, life, wait_ms)| {
            let kind = ['s', 'S', 'h', 'l', 'v', 'L', '-'][usize::from(kind % 7)];
            let life = life % 3 + 1;
            now_ms += u64::from(wait_ms) % 5_000;
            take(&mut members, kind, life, now_ms);
            if matches!(kind, 'S' | 'l') {
                left.push(node(1, life));
            }
            !takers(&mut members, now_ms).iter().any(|taker| left.contains(taker))
        })
    }
}

// A pool that many customers share: the agent's services come in several datagrams. One of
// them is lost; the services of the others stay, and those that went with fewer parts go.
#[test]
fn can_put_a_status_together_from_its_parts() {
    let part = |part: u8, parts, names: &[&str]| {
        let one = status(1, false);
        let hosted = |name: &&str| HostedService {
            service: name.parse().unwrap(),
            ..one.hosted[0].clone()
        };
        Status {
            hosted: names.iter().map(hosted).collect(),
            part,
            parts,
            ..one
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
    for (status, wanted) in cases {
        members.on_status(node(1, 1), Agent, &status, 0);
        let snapshot = members.snapshot(0);
        let mut names: Vec<_> = snapshot.services().map(|(_, name)| name.as_str()).collect();
        names.sort_unstable();
        assert_eq!(names, wanted);
    }
}
