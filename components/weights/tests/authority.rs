//! Who may say which version is in force, and what late news does.
#![allow(clippy::unwrap_used)] // The exemption of clippy.toml ends at helpers of tests.

use quickcheck::quickcheck;
use types::{CustomerName, Role, WeightVersion};
use weights::{
    AnnounceError, Announcement, Announcer, Authority, ModelKey, StoreRate, Target,
    store_rate_needed_bytes_per_s, turn,
};

fn model() -> ModelKey {
    ModelKey {
        customer: "office".parse().unwrap(),
        service: "redacteurs".parse().unwrap(),
    }
}

fn at(epoch: u32, version: u64) -> WeightVersion {
    WeightVersion { epoch, version }
}

#[derive(Clone, Copy)]
enum Say {
    Announce,
    Prepare,
    RollBack,
}

#[test]
fn can_tell_who_may_move_the_version() {
    struct Case {
        name: &'static str,
        customer: &'static str,
        role: Role,
        say: Say,
        version: WeightVersion,
        outcome: Result<WeightVersion, AnnounceError>,
    }
    let case = |name, customer, role, say, version, outcome| Case {
        name,
        customer,
        role,
        say,
        version,
        outcome,
    };
    use Role::{Caller, Operator, Trainer};
    let (office, rival) = ("office", "collective");
    let current = at(2, 5);
    let forbidden = Err(AnnounceError::Forbidden);
    let cases = [
        case(
            "trainer, next",
            office,
            Trainer,
            Say::Announce,
            at(2, 6),
            Ok(at(2, 6)),
        ),
        case(
            "trainer, again",
            office,
            Trainer,
            Say::Announce,
            current,
            Ok(current),
        ),
        case(
            "trainer, ahead of time",
            office,
            Trainer,
            Say::Prepare,
            at(2, 6),
            Ok(current),
        ),
        case(
            "trainer, late",
            office,
            Trainer,
            Say::Announce,
            at(2, 4),
            Err(AnnounceError::Old(current)),
        ),
        case(
            "paused trainer of the epoch before",
            office,
            Trainer,
            Say::Announce,
            at(1, 9),
            Err(AnnounceError::Old(current)),
        ),
        case(
            "trainer, epoch of its own",
            office,
            Trainer,
            Say::Announce,
            at(3, 1),
            Err(AnnounceError::EpochNotBegun(current)),
        ),
        case(
            "another trainer",
            rival,
            Trainer,
            Say::Announce,
            at(2, 6),
            forbidden,
        ),
        case("caller", office, Caller, Say::Announce, at(2, 6), forbidden),
        case(
            "operator announces",
            office,
            Operator,
            Say::Announce,
            at(2, 6),
            forbidden,
        ),
        case(
            "operator",
            office,
            Operator,
            Say::RollBack,
            at(3, 4),
            Ok(at(3, 4)),
        ),
        case(
            "operator, again",
            office,
            Operator,
            Say::RollBack,
            current,
            Ok(current),
        ),
        case(
            "operator in the same epoch",
            office,
            Operator,
            Say::RollBack,
            at(2, 4),
            Err(AnnounceError::EpochNotRaised(current)),
        ),
        case(
            "another operator",
            rival,
            Operator,
            Say::RollBack,
            at(3, 4),
            forbidden,
        ),
        case(
            "trainer rolls back",
            office,
            Trainer,
            Say::RollBack,
            at(3, 4),
            forbidden,
        ),
    ];
    for case in cases {
        let mut authority = Authority::new();
        authority.merge(&model(), Target::serve(current));
        let customer: CustomerName = case.customer.parse().unwrap();
        let by = Announcer {
            customer: &customer,
            role: case.role,
        };
        let said = match case.say {
            Say::Announce => authority.announce(&by, &model(), case.version),
            Say::Prepare => authority.prepare(&by, &model(), case.version),
            Say::RollBack => authority.roll_back(&by, &model(), case.version),
        };
        let serve = |said| match said {
            Announcement::Changed(target) | Announcement::Known(target) => target.serve,
        };
        assert_eq!(said.map(serve), case.outcome, "{}", case.name);
        let after = authority.target(&model()).unwrap().serve;
        assert_eq!(after, case.outcome.unwrap_or(current), "{}", case.name);
    }
}

#[test]
fn can_drop_what_was_prepared_before_a_roll_back() {
    let mut authority = Authority::new();
    let prepared = Target {
        serve: at(1, 5),
        load: at(1, 6),
    };
    authority.merge(&model(), prepared);
    authority.merge(&model(), Target::serve(at(2, 4)));
    authority.merge(&model(), prepared);
    assert_eq!(authority.target(&model()), Some(Target::serve(at(2, 4))));
}

quickcheck! {
    // Rumours arrive in any order, doubled, at any process: all end with the same target.
    fn can_agree_whatever_the_order_of_rumours(rumours: Vec<(u8, u8, u8)>, shift: usize) -> bool {
        let target = |&(epoch, serve, ahead): &(u8, u8, u8)| {
            let epoch = u32::from(epoch % 3);
            Target {
                serve: at(epoch, u64::from(serve)),
                load: at(epoch, u64::from(serve) + u64::from(ahead % 3)),
            }
        };
        let targets: Vec<Target> = rumours.iter().map(target).collect();
        let mut turned = targets.clone();
        turned.rotate_left(shift % targets.len().max(1));
        turned.extend(&targets);
        let end = |news: &[Target]| {
            let mut authority = Authority::new();
            news.iter().for_each(|&target| {
                authority.merge(&model(), target);
            });
            authority.target(&model())
        };
        let reversed: Vec<Target> = targets.iter().rev().copied().collect();
        end(&targets) == end(&turned) && end(&targets) == end(&reversed)
    }
}

#[test]
fn can_take_turns_at_the_store() {
    struct Case {
        rank: u32,
        delay_ms: u64,
    }
    // 10 GB at 5 GB/s for all, 2 GB/s for one: two at once, 5 s each.
    let store = StoreRate {
        bytes_per_s: 5_000_000_000,
        load_bytes_per_s: 2_000_000_000,
    };
    let case = |rank, delay_ms| Case { rank, delay_ms };
    for case in [
        case(0, 0),
        case(1, 0),
        case(2, 5_000),
        case(9, 20_000),
        case(99, 20_000),
    ] {
        let turn = turn(case.rank, 10, 10_000_000_000, &store);
        assert_eq!((turn.delay_ms, turn.load_ms), (case.delay_ms, 5_000));
    }
}

#[test]
fn can_state_the_rate_that_a_window_needs() {
    let needed = store_rate_needed_bytes_per_s(600, 1_000, 6_000, 1_000, 2_000);
    assert_eq!(needed, Some(200_000));
    assert_eq!(
        store_rate_needed_bytes_per_s(600, 1_000, 3_000, 1_000, 2_000),
        None
    );
}
