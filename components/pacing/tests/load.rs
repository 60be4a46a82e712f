//! Reads of one topic by a whole fleet, in simulated time and without a network.
//!
//! Load pattern: many followers of one log to which records are written continuously.

use pacing::{LOG_PACE, Pacer, REPLICA_PACE, ReadOutcome, Urgency};

/// Simulated time.
const SIMULATED_MS: u64 = 10_000;
/// Number of fronts that act on the records.
const ACTING: usize = 8;
/// Calls per second that the store allows the largest fleet. Each front follows three topics, and
/// half of the budget is reserved for other calls.
const BUDGET_PER_S: u64 = 16_000;
const TOPICS: u64 = 3;
/// Twice the size of the largest fleet.
const FLEET_MAX: u64 = 1_270;

struct Sim {
    fronts: usize,
    appends_per_s: u64,
    /// Reads that the store serves per 100 ms.
    budget: u64,
}

#[derive(Default)]
struct Counts {
    served: u64,
    throttled: u64,
    /// Longest time between two successful reads of one front.
    read_gap_ms: u64,
}

struct Follower {
    pacer: Pacer,
    urgency: Urgency,
    seen: u64,
    /// When the read in progress returns at the latest; `None` between reads.
    return_ms: Option<u64>,
    next_ms: u64,
    last_read_ms: u64,
}

/// A pseudo-random sequence (splitmix64).
struct RandomSequence(u64);

impl RandomSequence {
    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }
}

impl Sim {
    /// Runs the simulation in steps of a millisecond; all fronts start at the same time.
    fn run(&self) -> Counts {
        let mut randoms = RandomSequence(7);
        let mut counts = Counts::default();
        let urgency = |front| match front < ACTING {
            true => Urgency::Acting,
            false => Urgency::Idle,
        };
        let mut followers: Vec<Follower> = (0..self.fronts)
            .map(|front| Follower {
                pacer: Pacer::new(LOG_PACE),
                urgency: urgency(front),
                seen: 0,
                return_ms: None,
                next_ms: 0,
                last_read_ms: 0,
            })
            .collect();
        let mut budget_left = 0;
        for now_ms in 0..SIMULATED_MS {
            if now_ms % 100 == 0 {
                budget_left = self.budget;
            }
            let written = now_ms * self.appends_per_s / 1_000;
            // The store favours no front: each millisecond starts with a random one.
            let first = (randoms.next() % self.fronts as u64) as usize;
            for turn in 0..self.fronts {
                let follower = &mut followers[(first + turn) % self.fronts];
                let random = randoms.next();
                follower.tick(now_ms, written, random, &mut budget_left, &mut counts);
            }
        }
        counts
    }
}

impl Follower {
    fn tick(
        &mut self,
        now_ms: u64,
        written: u64,
        random: u64,
        budget: &mut u64,
        counts: &mut Counts,
    ) {
        if self.return_ms.is_none() && now_ms >= self.next_ms {
            if *budget == 0 {
                counts.throttled += 1;
                self.finish_read(ReadOutcome::Throttled, now_ms, random);
                return;
            }
            *budget -= 1;
            counts.served += 1;
            self.return_ms = Some(now_ms + self.pacer.wait_ms(self.urgency));
        }
        let Some(return_ms) = self.return_ms else {
            return;
        };
        let outcome = match (written > self.seen, now_ms >= return_ms) {
            (true, _) => ReadOutcome::Records,
            (false, true) => ReadOutcome::Empty,
            (false, false) => return,
        };
        self.seen = written;
        self.return_ms = None;
        counts.read_gap_ms = counts.read_gap_ms.max(now_ms - self.last_read_ms);
        self.last_read_ms = now_ms;
        self.finish_read(outcome, now_ms, random);
    }

    fn finish_read(&mut self, outcome: ReadOutcome, now_ms: u64, random: u64) {
        self.pacer.record_outcome(outcome);
        // The next call is sent a millisecond later at the earliest.
        self.next_ms = now_ms + 1 + self.pacer.interval_ms(outcome, self.urgency, random);
    }
}

/// Guards against reads that grow with fronts times records: the store's budget is exceeded as soon
/// as results are written, and every process is refused.
#[test]
fn can_keep_reads_of_idle_fronts_independent_of_the_write_rate() {
    for fronts in [8, 64, 640] {
        for appends_per_s in [0, 2, 20, 200, 1_000] {
            let sim = Sim {
                fronts,
                appends_per_s,
                budget: u64::MAX,
            };
            let acting_per_s = 1_000 / LOG_PACE.acting_ms;
            let idle_per_s = fronts as u64 * BUDGET_PER_S / 2 / TOPICS / FLEET_MAX;
            let reads_max = ACTING as u64 * acting_per_s + idle_per_s;
            let reads_per_s = sim.run().served * 1_000 / SIMULATED_MS;
            assert!(
                reads_per_s <= reads_max,
                "{fronts} fronts, {appends_per_s} appends per second: {reads_per_s} reads per second"
            );
        }
    }
}

/// Guards against a thundering herd that is refused for ever: fronts that lost the store at the
/// same moment retry at the same moment, and those that act on the records get no read through.
#[test]
fn can_make_progress_when_the_stores_budget_is_short() {
    let sim = Sim {
        fronts: 640,
        appends_per_s: 200,
        // Two thirds of the reads that the fleet would make.
        budget: 100,
    };
    let counts = sim.run();
    assert!(
        counts.throttled < counts.served,
        "more reads were refused than served"
    );
    assert!(
        counts.read_gap_ms < 3_000,
        "a front had no successful read for {} ms",
        counts.read_gap_ms
    );
}

/// Load pattern: 3,000 replicas write 2,500 records per second, and a read returns 250. Guards
/// against a pause after each read: a front then reads only 2,000 per second, learns of a leaving
/// replica 3.5 s late, and sends work to it.
#[test]
fn can_keep_up_with_heartbeats_of_thousands_of_replicas() {
    struct Case {
        urgency: Urgency,
        behind_max: u64,
    }
    let cases = [
        Case {
            urgency: Urgency::Acting,
            behind_max: 1_000,
        },
        // A leaving replica must be known within two seconds.
        Case {
            urgency: Urgency::Idle,
            behind_max: 5_000,
        },
    ];
    for case in cases {
        let mut pacer = Pacer::new(REPLICA_PACE);
        let mut randoms = RandomSequence(3);
        let (mut now_ms, mut next, mut behind_max) = (0, 0, 0);
        while now_ms < 20_000 {
            let log_end = now_ms * 5 / 2;
            behind_max = behind_max.max(log_end - next);
            next = log_end.min(next + 250);
            let read = match next < log_end {
                true => ReadOutcome::MoreAvailable,
                false => ReadOutcome::Records,
            };
            pacer.record_outcome(read);
            // A read takes 5 ms in addition to the interval.
            now_ms += 5 + pacer.interval_ms(read, case.urgency, randoms.next());
        }
        let urgency = case.urgency;
        assert!(
            behind_max < case.behind_max,
            "{behind_max} records behind with urgency {urgency:?}"
        );
    }
}
