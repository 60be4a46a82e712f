//! Tests of the expected rest of a deviation from the steady pace.

use pace::{PaceEstimate, PoolPace, ReplicaPace};

const INTERVAL_MS: u64 = 47;
const SLOW_MS: u64 = 118;
/// Time for which a replica has its steady pace between two deviations.
const STEADY_MS: u64 = 4_000;

/// Replicas of a pool with one run each, all in the same simulated time.
struct Pool {
    replicas: Vec<ReplicaPace>,
    pace: PoolPace,
    now_ms: u64,
}

impl Pool {
    fn new(replicas: usize) -> Self {
        let mut pool = Self {
            replicas: vec![ReplicaPace::default(); replicas],
            pace: PoolPace::default(),
            now_ms: 0,
        };
        pool.events(INTERVAL_MS, STEADY_MS);
        pool
    }

    /// Lets all replicas generate events for a time.
    fn events(&mut self, interval_ms: u64, lasts_ms: u64) {
        for _ in 0..lasts_ms / interval_ms {
            self.now_ms += interval_ms;
            for replica in &mut self.replicas {
                replica.record(&self.pace, interval_ms * 1_000, 1, self.now_ms);
            }
            self.pace = PoolPace::of(self.replicas.iter());
        }
    }

    /// Lets all replicas be slow for a time, then steady again.
    fn slow_period(&mut self, lasts_ms: u64) {
        self.events(SLOW_MS, lasts_ms);
        self.events(INTERVAL_MS, STEADY_MS);
    }

    /// Makes all replicas slow until their deviation has the given age.
    fn slow_until_age(&mut self, age_ms: u64) -> PaceEstimate {
        let until_ms = self.now_ms + 60_000;
        loop {
            self.events(SLOW_MS, SLOW_MS);
            let estimate = self.estimate();
            let since_ms = estimate.deviates_since_ms;
            if since_ms.is_some_and(|since_ms| self.now_ms >= since_ms + age_ms) {
                return estimate;
            }
            assert!(self.now_ms < until_ms, "no deviation of {age_ms} ms");
        }
    }

    /// Estimate of a deviation of the given age if it began now.
    fn estimate_at_age(&self, age_ms: u64) -> PaceEstimate {
        let mut copy = Self {
            replicas: self.replicas.clone(),
            pace: self.pace,
            now_ms: self.now_ms,
        };
        copy.slow_until_age(age_ms)
    }

    fn estimate(&self) -> PaceEstimate {
        self.replicas[0].estimate(&self.pace, 1, self.now_ms)
    }
}

#[test]
fn can_expect_little_of_a_short_deviation_and_seconds_of_an_older_one() {
    // Guards against one rest for all ages: most deviations of a new pool end within 0.7 s.
    struct Case {
        name: &'static str,
        age_ms: u64,
        left_ms: std::ops::Range<u64>,
        is_doubted: bool,
    }
    let case = |name, age_ms, left_ms, is_doubted| Case {
        name,
        age_ms,
        left_ms,
        is_doubted,
    };
    let cases = [
        case("just detected", 0, 200..1_600, true),
        case("after 0.3 s", 300, 300..2_500, true),
        case("after 1 s", 1_000, 3_500..6_000, false),
        case("after 3 s", 3_000, 2_000..5_000, false),
    ];
    for Case {
        name,
        age_ms,
        left_ms,
        is_doubted,
    } in cases
    {
        let estimate = Pool::new(3).slow_until_age(age_ms);
        let left = estimate.deviation_left_ms;
        assert!(left_ms.contains(&left), "{name}: {estimate:?}");
        let doubted = estimate.deviation_left_doubt_ms > left;
        assert_eq!(doubted, is_doubted, "{name}: {estimate:?}");
    }
}

#[test]
fn can_learn_that_deviations_of_a_pool_are_short() {
    // Guards against a prior that outweighs what was observed.
    let mut pool = Pool::new(8);
    let before = pool.estimate_at_age(0);
    for _ in 0..10 {
        pool.slow_period(600);
    }
    let after = pool.slow_until_age(0);
    let (before_ms, after_ms) = (before.deviation_left_ms, after.deviation_left_ms);
    assert!(
        after_ms * 2 < before_ms,
        "{before_ms} ms, then {after_ms} ms"
    );
    assert!(after_ms < 600, "{after:?}");
}

#[test]
fn can_learn_that_deviations_of_a_pool_are_long() {
    // Guards against texts that wait for the end of a deviation in a pool without short ones.
    let mut pool = Pool::new(8);
    for _ in 0..6 {
        pool.slow_period(6_000);
    }
    let estimate = pool.slow_until_age(0);
    assert!(estimate.deviation_left_ms > 3_500, "{estimate:?}");
    assert!(
        estimate.deviation_left_doubt_ms < estimate.deviation_left_ms,
        "{estimate:?}"
    );
}

#[test]
fn can_learn_from_deviations_whose_end_is_not_observed() {
    // Guards against replicas that are left early and never show how long they deviate: they count
    // as deviations that outlast the time until they were left, and not as short ones.
    let mut pool = Pool::new(8);
    let before = pool.estimate_at_age(0);
    for _ in 0..6 {
        pool.slow_until_age(900);
        // The texts are elsewhere until the replicas are expected to be back.
        pool.now_ms += 30_000;
        pool.events(INTERVAL_MS, STEADY_MS);
    }
    let after = pool.slow_until_age(0);
    let (before_ms, after_ms) = (before.deviation_left_ms, after.deviation_left_ms);
    assert!(
        after_ms > before_ms * 2,
        "{before_ms} ms, then {after_ms} ms"
    );
}

#[test]
fn can_count_deviations_that_still_last() {
    // Guards against estimates that wait for the first ends, which come seconds too late.
    let mut pool = Pool::new(8);
    let before = pool.estimate_at_age(0);
    let (first, others) = pool.replicas.split_at_mut(1);
    for _ in 0..15 {
        pool.now_ms += SLOW_MS;
        for replica in others.iter_mut() {
            replica.record(&pool.pace, SLOW_MS * 1_000, 1, pool.now_ms);
        }
        first[0].record(&pool.pace, INTERVAL_MS * 1_000, 1, pool.now_ms);
    }
    pool.pace = PoolPace::of(pool.replicas.iter());
    let after = pool.slow_until_age(0);
    let (before_ms, after_ms) = (before.deviation_left_ms, after.deviation_left_ms);
    assert!(after_ms > before_ms, "{before_ms} ms, then {after_ms} ms");
}

#[test]
fn can_expect_a_shorter_rest_while_no_event_arrives() {
    // Guards against a replica that counts as slow for seconds although its last event was slow
    // only for a moment.
    let mut pool = Pool::new(3);
    let seen = pool.slow_until_age(200);
    pool.now_ms += 800;
    let silent = pool.estimate();
    assert!(silent.deviates_since_ms.is_some(), "{silent:?}");
    assert!(
        silent.deviation_left_ms < seen.deviation_left_ms,
        "{seen:?}, then {silent:?}"
    );
}

#[test]
fn can_tell_that_nothing_is_left_without_a_deviation() {
    // Guards against a rest that is taken for that of a deviation.
    let estimate = Pool::new(3).estimate();
    assert_eq!(estimate.deviates_since_ms, None);
    assert_eq!(estimate.deviation_left_ms, 0);
    assert_eq!(estimate.deviation_left_doubt_ms, 0);
    let unknown = ReplicaPace::default().estimate(&PoolPace::default(), 1, 0);
    assert_eq!(unknown.deviation_left_ms, 0);
}

checks::seeded! {
    // Guards against a rest that is not a number, or beyond the time after which a level becomes
    // the steady pace.
    fn any_deviations_give_a_bounded_rest(periods_ms: Vec<u16>, silence_ms: u16) -> bool {
        let mut pool = Pool::new(2);
        for lasts_ms in periods_ms.into_iter().take(8) {
            pool.slow_period(u64::from(lasts_ms) / 3);
        }
        pool.events(SLOW_MS, 700);
        pool.now_ms += u64::from(silence_ms);
        let estimate = pool.estimate();
        estimate.deviation_left_ms <= 20_000 && estimate.deviation_left_doubt_ms <= 20_000
    }
}
