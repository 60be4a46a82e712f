//! Reads of one topic by a whole fleet, in simulated time and without a network.
//!
//! Load pattern: many followers of one log into which records are written all the time.

use pacing::{LOG_PACE, Pacer, REPLICA_PACE, ReadOutcome, Urgency};

/// Simulated time.
const DAY_MS: u64 = 10_000;
/// Fronts that act on the records.
const ACTING: usize = 8;
/// Calls a second that the store of the largest fleet allows; three topics are followed, and half
/// of the budget is for everything else.
const BUDGET_PER_S: u64 = 16_000;
const TOPICS: u64 = 3;
/// Twice the size of the largest fleet.
const FLEET_MAX: u64 = 1_270;

struct Sim {
    fronts: usize,
    appends_per_s: u64,
    /// Reads that the store serves in a tenth of a second.
    budget: u64,
}

#[derive(Default)]
struct Counts {
    served: u64,
    throttled: u64,
    /// Longest time between two reads of one front that came through.
    gap_ms: u64,
}

struct Follower {
    pacer: Pacer,
    urgency: Urgency,
    seen: u64,
    /// When the read in progress comes back at the latest; none between reads.
    until_ms: Option<u64>,
    next_ms: u64,
    proved_ms: u64,
}

/// A pseudo-random sequence (splitmix64).
struct Draws(u64);

impl Draws {
    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }
}

impl Sim {
    /// Plays the time in steps of a millisecond; all fronts start together.
    fn play(&self) -> Counts {
        let mut draws = Draws(7);
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
                until_ms: None,
                next_ms: 0,
                proved_ms: 0,
            })
            .collect();
        let mut budget_left = 0;
        for now_ms in 0..DAY_MS {
            if now_ms % 100 == 0 {
                budget_left = self.budget;
            }
            let written = now_ms * self.appends_per_s / 1_000;
            // The store favours nobody: another front comes first each time.
            let first = (draws.next() % self.fronts as u64) as usize;
            for turn in 0..self.fronts {
                let follower = &mut followers[(first + turn) % self.fronts];
                let draw = draws.next();
                follower.tick(now_ms, written, draw, &mut budget_left, &mut counts);
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
        draw: u64,
        budget: &mut u64,
        counts: &mut Counts,
    ) {
        if self.until_ms.is_none() && now_ms >= self.next_ms {
            if *budget == 0 {
                counts.throttled += 1;
                self.ended(ReadOutcome::Throttled, now_ms, draw);
                return;
            }
            *budget -= 1;
            counts.served += 1;
            self.until_ms = Some(now_ms + self.pacer.wait_ms(self.urgency));
        }
        let Some(until_ms) = self.until_ms else {
            return;
        };
        let end = match (written > self.seen, now_ms >= until_ms) {
            (true, _) => ReadOutcome::Records,
            (false, true) => ReadOutcome::Empty,
            (false, false) => return,
        };
        self.seen = written;
        self.until_ms = None;
        counts.gap_ms = counts.gap_ms.max(now_ms - self.proved_ms);
        self.proved_ms = now_ms;
        self.ended(end, now_ms, draw);
    }

    fn ended(&mut self, end: ReadOutcome, now_ms: u64, draw: u64) {
        self.pacer.record_outcome(end);
        // The next call goes out a millisecond later at the earliest.
        self.next_ms = now_ms + 1 + self.pacer.interval_ms(end, self.urgency, draw);
    }
}

/// Guards against reads that grow with fronts times records: the store's budget is then spent as
/// soon as results are listed, and everybody is refused.
#[test]
fn can_keep_reads_of_idle_fronts_apart_from_how_much_is_written() {
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
            let reads_per_s = sim.play().served * 1_000 / DAY_MS;
            assert!(
                reads_per_s <= reads_max,
                "{fronts} fronts, {appends_per_s} appends a second: {reads_per_s} reads a second"
            );
        }
    }
}

/// Guards against a herd that is refused for ever: fronts that lost the store at the same moment
/// ask again at the same moment, and those that act on the records get nothing.
#[test]
fn can_get_through_a_store_whose_budget_is_short() {
    let sim = Sim {
        fronts: 640,
        appends_per_s: 200,
        // Two thirds of what the fleet would read.
        budget: 100,
    };
    let counts = sim.play();
    assert!(
        counts.throttled < counts.served,
        "more is refused than served"
    );
    assert!(
        counts.gap_ms < 3_000,
        "a front was behind for {} ms",
        counts.gap_ms
    );
}

/// Load pattern: 3,000 replicas write 2,500 records a second, and a read brings 250. Guards against a
/// pause behind each read: a front then reads 2,000 a second, knows of a leaving replica 3.5 s late,
/// and sends it work.
#[test]
fn can_catch_up_with_the_heartbeats_of_thousands() {
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
        let mut draws = Draws(3);
        let (mut now_ms, mut next, mut behind_max) = (0, 0, 0);
        while now_ms < 20_000 {
            let end = now_ms * 5 / 2;
            behind_max = behind_max.max(end - next);
            next = end.min(next + 250);
            let read = match next < end {
                true => ReadOutcome::MoreAvailable,
                false => ReadOutcome::Records,
            };
            pacer.record_outcome(read);
            // A read takes 5 ms besides the interval.
            now_ms += 5 + pacer.interval_ms(read, case.urgency, draws.next());
        }
        let urgency = case.urgency;
        assert!(
            behind_max < case.behind_max,
            "{behind_max} records behind, {urgency:?}"
        );
    }
}
