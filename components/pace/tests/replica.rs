//! Tests of the pace of a replica: one replica and its runs in simulated time.

use pace::{DeviationTimes, LevelChange, PoolPace, ReplicaPace};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const INTERVAL_US: u64 = 47_000;
/// Pace of a pool whose interval is known.
const POOL: PoolPace = PoolPace {
    interval_us: INTERVAL_US,
    per_run_thousandths: 0,
    deviations: DeviationTimes::new(),
};
const UNKNOWN_POOL: PoolPace = PoolPace {
    interval_us: 0,
    per_run_thousandths: 0,
    deviations: DeviationTimes::new(),
};
/// Length of the pause for which a load of weights stops all runs of a replica.
const PAUSE_US: u64 = 900_000;
/// How much slower a replica with trouble is.
const SLOW: f64 = 3.5;

/// A replica with runs whose events are spread over the interval.
struct World {
    pool: PoolPace,
    pace: ReplicaPace,
    running: u32,
    noise: f64,
    randoms: StdRng,
    now_us: u64,
    changes: Vec<(LevelChange, u64)>,
}

impl World {
    fn new(pool: PoolPace, running: u32) -> Self {
        Self {
            pool,
            pace: ReplicaPace::default(),
            running,
            noise: 0.0,
            randoms: StdRng::seed_from_u64(checks::seed()),
            now_us: 1_000_000,
            changes: Vec::new(),
        }
    }

    fn now_ms(&self) -> u64 {
        self.now_us / 1_000
    }

    /// Gives each run `events` events at an interval of `interval_us`.
    fn events(&mut self, events: u64, interval_us: u64) {
        for _ in 0..events * u64::from(self.running) {
            self.now_us += interval_us / u64::from(self.running);
            let noise = (self.noise * checks::normal(|| self.randoms.random())).max(-0.5);
            self.event((interval_us as f64 * (1.0 + noise)) as u64);
        }
    }

    fn event(&mut self, interval_us: u64) {
        let now_ms = self.now_ms();
        let change = self
            .pace
            .record(&self.pool, interval_us, self.running, now_ms);
        self.changes
            .extend(change.map(|change| (change, self.now_ms())));
    }

    /// Stops all runs once for a time that all of them observe.
    fn pause(&mut self, pause_us: u64) {
        self.now_us += pause_us;
        (0..self.running).for_each(|_| self.event(pause_us));
    }

    fn interval_us(&self) -> u64 {
        let now_ms = self.now_ms();
        self.pace
            .estimate(&self.pool, self.running, now_ms)
            .interval_us
    }

    fn steady_us(&self) -> u64 {
        let now_ms = self.now_ms();
        self.pace
            .estimate(&self.pool, self.running, now_ms)
            .steady_us
    }

    fn deviates(&self) -> bool {
        let estimate = self.pace.estimate(&self.pool, self.running, self.now_ms());
        estimate.deviates_since_ms.is_some()
    }
}

fn slower(factor: f64) -> u64 {
    (INTERVAL_US as f64 * factor) as u64
}

#[track_caller]
fn assert_near(name: &str, found: u64, expected: u64, percent: u64) {
    assert!(
        found.abs_diff(expected) * 100 <= expected * percent,
        "{name}: {found} is not within {percent} % of {expected}"
    );
}

#[test]
fn can_learn_the_permanent_pace_of_a_replica() {
    // A replica that stays 1.3 times slower must not count as one in trouble, and its pace must
    // not be forgotten while it has no runs.
    struct Case {
        name: &'static str,
        pool: PoolPace,
        running: u32,
        events: u64,
        factor: f64,
    }
    let case = |name, pool, running, events, factor| Case {
        name,
        pool,
        running,
        events,
        factor,
    };
    let cases = [
        case("slower, one run", POOL, 1, 10, 1.3),
        case("slower, six runs", POOL, 6, 10, 1.3),
        case("faster, one run", POOL, 1, 10, 1.0 / 1.3),
        case("slower, pool not known", UNKNOWN_POOL, 6, 2, 1.3),
        case("as the pool, one run", POOL, 1, 10, 1.0),
    ];
    for case in cases {
        let mut world = World::new(case.pool, case.running);
        world.events(case.events, slower(case.factor));
        assert_near(case.name, world.interval_us(), slower(case.factor), 3);
        world.now_us += 60_000_000;
        assert_near(case.name, world.interval_us(), slower(case.factor), 3);
        assert_eq!(world.changes, [], "{}", case.name);
        assert!(!world.deviates(), "{}", case.name);
    }
}

#[test]
fn can_ignore_one_pause_that_all_runs_observe() {
    // A load of weights stops a replica once. A change of its level would move all of its runs.
    for running in 1..=6 {
        for before in [3, 10, 200] {
            let mut world = World::new(POOL, running);
            world.noise = 0.1;
            world.events(before, INTERVAL_US);
            world.pause(PAUSE_US);
            world.events(40, INTERVAL_US);
            let name = format!("{running} runs, {before} events before");
            assert_eq!(world.changes, [], "{name}");
            assert_near(&name, world.interval_us(), INTERVAL_US, 5);
        }
    }
}

#[test]
fn can_notice_a_slower_level_and_the_recovery_within_a_few_events() {
    // A text loses seconds for each hundred events at a slow replica, and a recovered replica that
    // counts as slow stays empty.
    struct Case {
        name: &'static str,
        running: u32,
        factor: f64,
        /// Events of each run until the change is noticed.
        events: u64,
    }
    let case = |name, running, factor, events| Case {
        name,
        running,
        factor,
        events,
    };
    let cases = [
        case("3.5 times slower, six runs", 6, SLOW, 3),
        case("3.5 times slower, one run", 1, SLOW, 3),
        case("2 times slower, six runs", 6, 2.0, 3),
        case("2 times slower, one run", 1, 2.0, 3),
        case("4 times slower, three runs", 3, 4.0, 3),
    ];
    for case in cases {
        let mut world = World::new(POOL, case.running);
        world.events(100, INTERVAL_US);
        let slow_since_ms = world.now_ms();
        world.events(case.events, slower(case.factor));
        let [(LevelChange::Slower, noticed_ms)] = world.changes[..] else {
            panic!("{}: {:?}", case.name, world.changes);
        };
        assert!(noticed_ms - slow_since_ms <= 600, "{}", case.name);
        assert!(world.deviates(), "{}", case.name);
        world.events(20, slower(case.factor));
        assert_near(case.name, world.interval_us(), slower(case.factor), 5);
        assert_near(case.name, world.steady_us(), INTERVAL_US, 3);
        world.changes.clear();
        world.events(4, INTERVAL_US);
        assert!(
            matches!(world.changes[..], [(LevelChange::Recovered, _)]),
            "{}: {:?}",
            case.name,
            world.changes
        );
        assert!(!world.deviates(), "{}", case.name);
        assert_near(case.name, world.interval_us(), INTERVAL_US, 3);
    }
}

#[test]
fn can_expect_a_slow_replica_without_events_to_recover() {
    // No run is placed on a slow replica, so no event would ever show that it has recovered.
    let mut world = World::new(POOL, 6);
    world.events(100, INTERVAL_US);
    world.events(20, slower(SLOW));
    let deviation = |world: &World| {
        let ratio = world.interval_us() as f64 / world.steady_us() as f64;
        ratio.ln()
    };
    let before = deviation(&world);
    for halvings in 1..=3 {
        world.now_us += 4_000_000;
        let expected = before / f64::from(1 << halvings);
        assert!((deviation(&world) - expected).abs() < 0.01);
    }
    assert!(world.deviates());
    world.now_us += 4_000_000;
    assert!(!world.deviates());
    assert_near("after 16 s", world.interval_us(), INTERVAL_US, 3);
    world.changes.clear();
    world.events(1, INTERVAL_US);
    assert!(matches!(world.changes[..], [(LevelChange::Recovered, _)]));
}

#[test]
fn can_notice_that_a_replica_is_still_slow_after_a_silence() {
    // A replica that is expected back and is not would be filled with runs again.
    let mut world = World::new(POOL, 6);
    world.events(100, INTERVAL_US);
    world.events(10, slower(SLOW));
    world.now_us += 6_000_000;
    world.events(4, slower(SLOW));
    assert!(world.deviates());
    assert_near("still slow", world.interval_us(), slower(SLOW), 10);
}

#[test]
fn can_keep_the_steady_pace_of_a_replica_that_is_first_seen_slow() {
    // Its texts would count as hopeless there for as long as the replica lives.
    for running in [1, 6] {
        let mut world = World::new(POOL, running);
        world.events(20, slower(SLOW));
        let name = format!("{running} runs, pool known");
        assert!(world.deviates(), "{name}");
        assert_near(&name, world.steady_us(), INTERVAL_US, 5);
        assert_near(&name, world.interval_us(), slower(SLOW), 5);
        world.events(4, INTERVAL_US);
        assert!(!world.deviates(), "{name}");
        assert_near(&name, world.interval_us(), INTERVAL_US, 5);
    }
}

#[test]
fn can_correct_the_steady_pace_once_the_pool_is_known() {
    // A front that has just started observes slow replicas before it knows the pool's interval.
    let mut world = World::new(UNKNOWN_POOL, 6);
    world.events(5, slower(SLOW));
    assert_near("not known yet", world.steady_us(), slower(SLOW), 3);
    world.pool = POOL;
    world.events(5, slower(SLOW));
    assert!(world.deviates());
    assert_near("known", world.steady_us(), INTERVAL_US, 5);
    assert!(matches!(world.changes[..], [(LevelChange::Slower, _)]));
}

#[test]
fn can_find_the_steady_pace_of_a_replica_first_seen_slow_in_an_unknown_pool() {
    // A slow pace learnt as the steady one must not hide that the replica became faster.
    for running in [1, 6] {
        let mut world = World::new(UNKNOWN_POOL, running);
        world.events(20, slower(4.0));
        world.events(20, INTERVAL_US);
        assert!(!world.deviates());
        assert_near("recovered", world.steady_us(), INTERVAL_US, 5);
    }
}

#[test]
fn can_take_a_lasting_level_as_the_steady_pace() {
    // A replica that shares its VM with new work for good must not count as one in trouble.
    let mut world = World::new(POOL, 6);
    world.events(100, INTERVAL_US);
    world.events(200, slower(2.0));
    let kinds: Vec<LevelChange> = world.changes.iter().map(|(change, _)| *change).collect();
    assert_eq!(kinds, [LevelChange::Slower]);
    assert_near("before 20 s", world.steady_us(), INTERVAL_US, 3);
    world.events(30, slower(2.0));
    assert!(!world.deviates());
    assert_near("after 20 s", world.steady_us(), slower(2.0), 3);
    let kinds: Vec<LevelChange> = world.changes.iter().map(|(change, _)| *change).collect();
    assert_eq!(kinds, [LevelChange::Slower, LevelChange::Recovered]);
}

#[test]
fn can_ignore_noise() {
    // A false change moves the runs of a replica, each of which reads its text again.
    for running in [1, 6] {
        let mut world = World::new(POOL, running);
        world.noise = 0.1;
        world.events(100_000 / u64::from(running), INTERVAL_US);
        assert_eq!(world.changes, [], "{running} runs");
        assert_near("after noise", world.interval_us(), INTERVAL_US, 5);
    }
}

#[test]
fn can_ignore_events_that_are_held_back_and_arrive_together() {
    // A front that was not scheduled reads several events of a run at once. Neither the gap nor
    // the events behind it show a pace.
    for running in [1, 6] {
        let mut world = World::new(POOL, running);
        world.events(100, INTERVAL_US);
        for _ in 0..20 {
            world.now_us += 4 * INTERVAL_US;
            (0..running).for_each(|_| world.event(4 * INTERVAL_US));
            (0..3 * running).for_each(|_| world.event(1_200));
            world.events(3, INTERVAL_US);
        }
        // Events in pairs.
        for _ in 0..50 {
            world.now_us += 2 * INTERVAL_US;
            for _ in 0..running {
                world.event(2 * INTERVAL_US);
                world.event(300);
            }
        }
        assert_eq!(world.changes, [], "{running} runs");
        assert_near("held back", world.steady_us(), INTERVAL_US, 5);
    }
}

#[test]
fn can_state_its_doubt() {
    // Moves compare gains with the doubt; a replica of which nothing is known may be as slow as
    // any of its pool.
    let doubt = |world: &World| {
        let estimate = world.pace.estimate(&world.pool, 1, world.now_ms());
        estimate.doubt_thousandths
    };
    let mut world = World::new(POOL, 1);
    let mut doubts = vec![doubt(&world)];
    for events in [1, 9, 90] {
        world.events(events, INTERVAL_US);
        doubts.push(doubt(&world));
    }
    assert!(doubts[0] >= 200, "{doubts:?}");
    assert!(doubts.is_sorted_by(|a, b| a > b), "{doubts:?}");
    assert!(doubts[2] <= 40 && doubts[3] <= 20, "{doubts:?}");
}

#[test]
fn can_continue_from_a_snapshot() {
    // The next owner must know which replicas are permanently slower, and which ones are slow now.
    let mut world = World::new(POOL, 6);
    world.events(100, slower(1.3));
    world.events(10, slower(SLOW));
    let age_ms = 4_000;
    let snapshot = world.pace.snapshot(world.now_ms());
    let bytes = postcard::to_stdvec(&snapshot).expect("the snapshot encodes");
    let snapshot = postcard::from_bytes(&bytes).expect("the snapshot decodes");
    assert!(bytes.len() <= 64, "{} bytes", bytes.len());
    let now_ms = 77_000;
    let restored = ReplicaPace::restore(&snapshot, age_ms, now_ms);
    let later = world.pace.estimate(&POOL, 3, world.now_ms() + age_ms);
    let estimate = restored.estimate(&POOL, 3, now_ms);
    assert_near("steady", estimate.steady_us, later.steady_us, 1);
    assert_near("interval", estimate.interval_us, later.interval_us, 1);
    assert_eq!(estimate.doubt_thousandths, later.doubt_thousandths);
    let age_of = |since_ms: Option<u64>, now_ms: u64| since_ms.map(|since_ms| now_ms - since_ms);
    assert_eq!(
        age_of(estimate.deviates_since_ms, now_ms),
        age_of(later.deviates_since_ms, world.now_ms() + age_ms)
    );
}

checks::seeded! {
    // Guards against panics, overflows and estimates without bounds: any intervals, numbers of
    // runs and times give an estimate between the shortest and the longest interval.
    fn any_intervals_give_a_bounded_estimate(
        events: Vec<(u64, u8, u16)>,
        pool_us: u32,
        per_run: u8
    ) -> bool {
        let pool = PoolPace {
            interval_us: u64::from(pool_us),
            per_run_thousandths: u64::from(per_run % 51),
            deviations: DeviationTimes::new(),
        };
        let mut pace = ReplicaPace::default();
        let mut now_ms = 0;
        for (interval_us, running, gap_ms) in events {
            now_ms += u64::from(gap_ms);
            pace.record(&pool, interval_us, u32::from(running), now_ms);
            let snapshot = pace.snapshot(now_ms);
            let estimate = pace.estimate(&pool, u32::from(running), now_ms);
            let restored = ReplicaPace::restore(&snapshot, u64::from(gap_ms), now_ms);
            let later = restored.estimate(&pool, u32::from(running), now_ms);
            if estimate.interval_us < estimate.steady_us || later.interval_us < later.steady_us {
                return false;
            }
        }
        let pool = PoolPace::of([&pace].into_iter());
        pool.per_run_thousandths <= 50
    }
}
