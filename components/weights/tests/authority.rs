//! Who may say which version is in force, and what late news does.
#![allow(clippy::unwrap_used)] // The exemption of clippy.toml ends at helpers of tests.

use types::{CustomerName, Role, WeightVersion};
use weights::{
    AnnounceError, AnnounceOutcome, Announcer, Authority, ModelKey, Target, preload_delay_ms,
    store_rate_needed_bytes_per_s,
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
            Err(AnnounceError::Outdated(current)),
        ),
        case(
            "paused trainer of the epoch before",
            office,
            Trainer,
            Say::Announce,
            at(1, 9),
            Err(AnnounceError::Outdated(current)),
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
            AnnounceOutcome::Changed(target) | AnnounceOutcome::Known(target) => target.serve,
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

checks::seeded! {
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

// Replicas load a version that is named ahead of time. Each computes its own wait; together
// they ask the store evenly over the window, and another version has another order.
#[test]
fn can_spread_loads_over_the_window() {
    let window_ms = 60_000;
    let waits = |version| -> Vec<u64> {
        let address = |number: u16| std::net::SocketAddr::from(([10, 0, 0, 1], number));
        (1..=600)
            .map(|number| preload_delay_ms(address(number), &model(), at(1, version), window_ms))
            .collect()
    };
    let (first, second) = (waits(1), waits(2));
    for tenth in 0..10 {
        let is_in = |wait_ms: &&u64| **wait_ms / (window_ms / 10) == tenth;
        let loads = first.iter().filter(is_in).count();
        assert!(
            (35..=85).contains(&loads),
            "{loads} of 600 in tenth {tenth}"
        );
    }
    let late = |wait_ms: &u64| *wait_ms > window_ms * 9 / 10;
    let both = first.iter().zip(&second);
    let always_late = both.filter(|(a, b)| late(a) && late(b)).count();
    assert!(always_late < 20, "{always_late} of 600 are late twice");
    assert_eq!(
        preload_delay_ms(([10, 0, 0, 1], 1).into(), &model(), at(1, 1), 0),
        0
    );
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
