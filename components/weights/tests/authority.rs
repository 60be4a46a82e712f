//! Permission to change the active version, and the effect of late messages.
#![allow(clippy::unwrap_used)] // clippy.toml exempts only test functions, not their helpers.

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
enum Request {
    Announce,
    Prepare,
    RollBack,
}

#[test]
fn can_accept_versions_only_from_the_trainer_and_roll_backs_only_from_operators() {
    struct Case {
        name: &'static str,
        customer: &'static str,
        role: Role,
        request: Request,
        version: WeightVersion,
        outcome: Result<WeightVersion, AnnounceError>,
    }
    let case = |name, customer, role, request, version, outcome| Case {
        name,
        customer,
        role,
        request,
        version,
        outcome,
    };
    use Role::{Caller, Operator, Trainer};
    let (office, rival) = ("office", "collective");
    let current = at(2, 5);
    let forbidden = Err(AnnounceError::Forbidden);
    let cases = [
        case(
            "trainer announces the next version",
            office,
            Trainer,
            Request::Announce,
            at(2, 6),
            Ok(at(2, 6)),
        ),
        case(
            "trainer repeats the announcement",
            office,
            Trainer,
            Request::Announce,
            current,
            Ok(current),
        ),
        case(
            "trainer announces ahead of time",
            office,
            Trainer,
            Request::Prepare,
            at(2, 6),
            Ok(current),
        ),
        case(
            "late announcement",
            office,
            Trainer,
            Request::Announce,
            at(2, 4),
            Err(AnnounceError::Outdated(current)),
        ),
        case(
            "paused trainer of the previous epoch",
            office,
            Trainer,
            Request::Announce,
            at(1, 9),
            Err(AnnounceError::Outdated(current)),
        ),
        case(
            "trainer uses an epoch that was not begun",
            office,
            Trainer,
            Request::Announce,
            at(3, 1),
            Err(AnnounceError::EpochNotBegun(current)),
        ),
        case(
            "trainer of another customer",
            rival,
            Trainer,
            Request::Announce,
            at(2, 6),
            forbidden,
        ),
        case(
            "caller announces",
            office,
            Caller,
            Request::Announce,
            at(2, 6),
            forbidden,
        ),
        case(
            "operator announces",
            office,
            Operator,
            Request::Announce,
            at(2, 6),
            forbidden,
        ),
        case(
            "operator rolls back",
            office,
            Operator,
            Request::RollBack,
            at(3, 4),
            Ok(at(3, 4)),
        ),
        case(
            "operator repeats the roll-back",
            office,
            Operator,
            Request::RollBack,
            current,
            Ok(current),
        ),
        case(
            "operator rolls back in the same epoch",
            office,
            Operator,
            Request::RollBack,
            at(2, 4),
            Err(AnnounceError::EpochNotRaised(current)),
        ),
        case(
            "operator of another customer",
            rival,
            Operator,
            Request::RollBack,
            at(3, 4),
            forbidden,
        ),
        case(
            "trainer rolls back",
            office,
            Trainer,
            Request::RollBack,
            at(3, 4),
            forbidden,
        ),
    ];
    for case in cases {
        let mut authority = Authority::new();
        authority.merge(&model(), Target::serve(current));
        let customer: CustomerName = case.customer.parse().unwrap();
        let sender = Announcer {
            customer: &customer,
            role: case.role,
        };
        let result = match case.request {
            Request::Announce => authority.announce(&sender, &model(), case.version),
            Request::Prepare => authority.prepare(&sender, &model(), case.version),
            Request::RollBack => authority.roll_back(&sender, &model(), case.version),
        };
        let serve = |outcome| match outcome {
            AnnounceOutcome::Changed(target) | AnnounceOutcome::Known(target) => target.serve,
        };
        assert_eq!(result.map(serve), case.outcome, "{}", case.name);
        let after = authority.target(&model()).unwrap().serve;
        assert_eq!(after, case.outcome.unwrap_or(current), "{}", case.name);
    }
}

#[test]
fn can_discard_a_prepared_version_on_a_roll_back() {
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
    // Processes receive the same gossip in different orders and with duplicates. If the result
    // depended on the order, processes would keep different targets for the same model.
    fn can_converge_in_any_order_of_gossip(gossip: Vec<(u8, u8, u8)>, shift: usize) -> bool {
        let target = |&(epoch, serve, ahead): &(u8, u8, u8)| {
            let epoch = u32::from(epoch % 3);
            Target {
                serve: at(epoch, u64::from(serve)),
                load: at(epoch, u64::from(serve) + u64::from(ahead % 3)),
            }
        };
        let targets: Vec<Target> = gossip.iter().map(target).collect();
        let mut rotated = targets.clone();
        rotated.rotate_left(shift % targets.len().max(1));
        rotated.extend(&targets);
        let end = |received: &[Target]| {
            let mut authority = Authority::new();
            received.iter().for_each(|&target| {
                authority.merge(&model(), target);
            });
            authority.target(&model())
        };
        let reversed: Vec<Target> = targets.iter().rev().copied().collect();
        end(&targets) == end(&rotated) && end(&targets) == end(&reversed)
    }
}

// Replicas load a version that is announced ahead of time, each after a delay that it computes
// by itself. Uneven delays would overload the store, and equal delays for each version would
// make the same replicas last every time.
#[test]
fn can_spread_loads_over_the_window() {
    let window_ms = 60_000;
    let delays = |version| -> Vec<u64> {
        let address = |number: u16| std::net::SocketAddr::from(([10, 0, 0, 1], number));
        (1..=600)
            .map(|number| preload_delay_ms(address(number), &model(), at(1, version), window_ms))
            .collect()
    };
    let (first, second) = (delays(1), delays(2));
    for tenth in 0..10 {
        let is_in = |delay_ms: &&u64| **delay_ms / (window_ms / 10) == tenth;
        let loads = first.iter().filter(is_in).count();
        assert!(
            (35..=85).contains(&loads),
            "{loads} of 600 loads are in tenth {tenth} of the window"
        );
    }
    let late = |delay_ms: &u64| *delay_ms > window_ms * 9 / 10;
    let both = first.iter().zip(&second);
    let always_late = both.filter(|(a, b)| late(a) && late(b)).count();
    assert!(
        always_late < 20,
        "{always_late} of 600 replicas are in the last tenth for both versions"
    );
    assert_eq!(
        preload_delay_ms(([10, 0, 0, 1], 1).into(), &model(), at(1, 1), 0),
        0
    );
}

#[test]
fn can_compute_the_store_rate_that_a_window_needs() {
    let needed = store_rate_needed_bytes_per_s(600, 1_000, 6_000, 1_000, 2_000);
    assert_eq!(needed, Some(200_000));
    assert_eq!(
        store_rate_needed_bytes_per_s(600, 1_000, 3_000, 1_000, 2_000),
        None
    );
}
