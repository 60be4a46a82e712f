//! The lease under faults of the store, of clocks and of processes.

use lease::{Lease, LeaseRecord, LeaseSettings};
use quickcheck::{Arbitrary, Gen};

/// Pause that must lie between orders of two holders, in milliseconds.
const PAUSE_MS: u64 = 3_000;

fn settings() -> LeaseSettings {
    LeaseSettings::with_pause(PAUSE_MS)
}

/// One log, and VMs that read it at their own pace.
struct World {
    log: Vec<LeaseRecord>,
    /// Records before this offset are gone.
    first: usize,
    vms: Vec<Vm>,
    /// Records on their way: when they land, and the record.
    flying: Vec<(u64, LeaseRecord)>,
    now_ms: u64,
    /// Orders: when, and which VM.
    orders: Vec<(u64, usize)>,
}

struct Vm {
    lease: Lease,
    read: usize,
    read_since_ms: u64,
    cut_until_ms: u64,
    frozen_until_ms: u64,
    lives: u64,
}

const NAMES: [&str; 3] = ["a", "b", "c"];

fn vm(name: usize, lives: u64) -> Vm {
    Vm {
        lease: Lease::new(NAMES[name], lives * 1_000_000, settings()),
        read: 0,
        read_since_ms: 0,
        cut_until_ms: 0,
        frozen_until_ms: 0,
        lives,
    }
}

impl World {
    fn new() -> Self {
        Self {
            log: Vec::new(),
            first: 0,
            vms: (0..NAMES.len()).map(|name| vm(name, 0)).collect(),
            flying: Vec::new(),
            now_ms: 0,
            orders: Vec::new(),
        }
    }

    /// Lets 50 ms pass; `lose_ms` is how much later than usual records land now.
    fn tick(&mut self, lose_ms: u64) {
        self.now_ms += 50;
        let now_ms = self.now_ms;
        let (landed, flying) = self.flying.drain(..).partition(|(at, _)| *at <= now_ms);
        self.flying = flying;
        self.log.extend(
            landed
                .into_iter()
                .map(|(_, record): (u64, LeaseRecord)| record),
        );
        for at in 0..self.vms.len() {
            self.step(at, lose_ms);
        }
    }

    fn step(&mut self, at: usize, lose_ms: u64) {
        let now_ms = self.now_ms;
        let vm = &mut self.vms[at];
        if now_ms < vm.frozen_until_ms {
            return;
        }
        // A VM that wakes gives an order before it reads, if it believes that it may.
        if vm.lease.fence(now_ms).is_some() {
            self.orders.push((now_ms, at));
        }
        if now_ms < vm.cut_until_ms {
            return;
        }
        if vm.read < self.first {
            vm.lease.reset();
            vm.read = self.first;
            vm.read_since_ms = now_ms;
        }
        for offset in vm.read..self.log.len() {
            vm.lease.apply(offset as u64, &self.log[offset], now_ms);
        }
        vm.read = self.log.len();
        if let Some(record) = vm.lease.next_record(vm.read_since_ms, true, now_ms) {
            self.flying.push((now_ms + 50 + lose_ms, record));
        }
    }

    fn too_close(&self) -> Option<(u64, u64)> {
        self.orders
            .windows(2)
            .find(|pair| pair[0].1 != pair[1].1 && pair[1].0 < pair[0].0 + PAUSE_MS)
            .map(|pair| (pair[0].0, pair[1].0))
    }
}

#[derive(Clone, Debug)]
enum Event {
    Run { ticks: u8 },
    Cut { vm: usize, for_ms: u64 },
    Freeze { vm: usize, for_ms: u64 },
    Restart { vm: usize },
    GiveUp { vm: usize },
    Late { ticks: u8, ms: u64 },
    Drop,
}

impl Arbitrary for Event {
    fn arbitrary(g: &mut Gen) -> Self {
        let vm = usize::arbitrary(g) % NAMES.len();
        let for_ms = u64::arbitrary(g) % 8_000;
        match u8::arbitrary(g) % 9 {
            0..3 => Event::Run {
                ticks: u8::arbitrary(g),
            },
            3 => Event::Cut { vm, for_ms },
            4 => Event::Freeze { vm, for_ms },
            5 => Event::Restart { vm },
            6 => Event::GiveUp { vm },
            7 => Event::Drop,
            _ => Event::Late {
                ticks: u8::arbitrary(g) % 40,
                ms: for_ms,
            },
        }
    }
}

impl World {
    fn apply(&mut self, event: &Event) {
        match event {
            Event::Run { ticks } => (0..*ticks).for_each(|_| self.tick(0)),
            Event::Late { ticks, ms } => (0..*ticks).for_each(|_| self.tick(*ms)),
            Event::Cut { vm, for_ms } => self.vms[*vm].cut_until_ms = self.now_ms + for_ms,
            Event::Freeze { vm, for_ms } => self.vms[*vm].frozen_until_ms = self.now_ms + for_ms,
            Event::Restart { vm: at } => self.vms[*at] = vm(*at, self.vms[*at].lives + 1),
            Event::Drop => self.first = self.log.len(),
            Event::GiveUp { vm } => {
                if let Some(record) = self.vms[*vm].lease.release() {
                    self.flying.push((self.now_ms + 50, record));
                }
            }
        }
    }
}

checks::seeded! {
    // Records land seconds late, VMs are cut off, frozen, restarted and leave, in any order.
    // Whoever wakes acts before it reads. Orders of two VMs always lie the pause apart.
    fn orders_of_two_holders_never_come_too_close(events: Vec<Event>) -> bool {
        let mut world = World::new();
        events.iter().for_each(|event| world.apply(event));
        world.too_close().is_none()
    }

    // Whatever came before, once all is well a VM that did not leave gives orders again.
    fn somebody_gives_orders_again_within_bounds(events: Vec<Event>) -> bool {
        let mut world = World::new();
        events.iter().for_each(|event| world.apply(event));
        let at = 0;
        world.vms[at] = vm(at, world.vms[at].lives + 1);
        // 8 s of records on their way and cuts, 1.5 s of silence, the pause, and slack.
        let until_ms = world.now_ms + 20_000;
        let before = world.orders.len();
        while world.now_ms < until_ms {
            world.tick(0);
        }
        world.orders.len() > before
    }
}

#[test]
fn can_replace_a_silent_holder_that_ordered_nothing_lately() {
    // The holder gave its last order long ago and is cut off. A trainer names a version; if
    // nobody gave orders for the whole pause from now on, the next step but one would stand
    // still. The pause is already over, so silence alone is waited for.
    let mut lease = Lease::new("b", 0, settings());
    let take = LeaseRecord::Acquire {
        holder: "a".into(),
        attempt: 1,
        after: None,
    };
    lease.apply(0, &take, 0);
    lease.apply(
        1,
        &LeaseRecord::Renew {
            fence: 1,
            attempt: 2,
            orders: true,
        },
        100,
    );
    for (offset, at_ms) in [(2, 5_000), (3, 5_400)] {
        let alive = LeaseRecord::Renew {
            fence: 1,
            attempt: offset,
            orders: false,
        };
        lease.apply(offset, &alive, at_ms);
    }
    let silent_ms = settings().silent_ms;
    assert_eq!(lease.next_record(0, true, 5_400 + silent_ms - 1), None);
    let taken = lease.next_record(0, true, 5_400 + silent_ms);
    let Some(taken @ LeaseRecord::Acquire { after: Some(3), .. }) = taken else {
        panic!("{taken:?}");
    };
    lease.apply(4, &taken, 6_950);
    let renewal = lease.next_record(0, true, 7_400);
    assert!(matches!(
        renewal,
        Some(LeaseRecord::Renew {
            fence: 5,
            orders: true,
            ..
        })
    ));
}

#[test]
fn errors_on_a_take_that_lands_after_a_renewal() {
    // A take gets no answer and lands six seconds later, when its old rival has renewed
    // again. If it held, two VMs would give orders in turns.
    let mut lease = Lease::new("a", 0, settings());
    let take = lease.next_record(0, true, 0).expect("free");
    lease.apply(0, &take, 10);
    let renewal = lease.next_record(0, true, 5_000).expect("due");
    lease.apply(1, &renewal, 5_010);
    let late = LeaseRecord::Acquire {
        holder: "b".into(),
        attempt: 9,
        after: Some(0),
    };
    lease.apply(2, &late, 5_020);
    assert_eq!(lease.fence(5_030), Some(1));
}

#[test]
fn errors_when_a_frozen_holder_wakes() {
    // The holder announces orders, stands still for four seconds and wakes. Its clock counts
    // the suspension, so the announcement is over before it gives an order.
    let mut lease = Lease::new("a", 0, settings());
    let take = lease.next_record(0, true, 0).expect("free");
    lease.apply(0, &take, 10);
    let renewal = lease.next_record(0, true, 5_000).expect("due");
    lease.apply(1, &renewal, 5_010);
    assert_eq!(lease.fence(5_100), Some(1));
    assert_eq!(lease.fence(9_100), None);
}

#[test]
fn can_give_orders_at_once_after_a_restart_of_the_last_holder() {
    // All VMs die at once. The one that gave the last orders starts again and reads the log
    // from its beginning: an older holder's orders, then its own. No other VM ordered since,
    // so it need not wait out the pause; the trainers' steps stood still for it.
    let log = [
        LeaseRecord::Acquire {
            holder: "b".into(),
            attempt: 1,
            after: None,
        },
        LeaseRecord::Renew {
            fence: 1,
            attempt: 2,
            orders: true,
        },
        LeaseRecord::Acquire {
            holder: "a".into(),
            attempt: 1,
            after: Some(1),
        },
        LeaseRecord::Renew {
            fence: 3,
            attempt: 2,
            orders: true,
        },
    ];
    let mut lease = Lease::new("a", 1_000, settings());
    for (offset, record) in log.iter().enumerate() {
        lease.apply(offset as u64, record, 50_000);
    }
    let announced = lease.next_record(0, true, 50_010);
    assert!(matches!(
        announced,
        Some(LeaseRecord::Renew {
            fence: 3,
            orders: true,
            ..
        })
    ));
    // Another VM that reads the same waits.
    let mut other = Lease::new("b", 1_000, settings());
    for (offset, record) in log.iter().enumerate() {
        other.apply(offset as u64, record, 50_000);
    }
    assert_eq!(other.next_record(0, true, 50_010), None);
}

#[test]
fn can_keep_one_holder_when_the_whole_log_is_gone() {
    // Every record of the lease is gone at once, and a VM that was restarted reads none before
    // it takes the lease for itself. The others know the holder and pass its take over, so that
    // two give orders, each sure of itself.
    let mut world = World::new();
    world.apply(&Event::Run { ticks: 251 });
    world.first = world.log.len();
    world.apply(&Event::Restart { vm: 2 });
    world.apply(&Event::Run { ticks: 134 });
    assert_eq!(world.too_close(), None);
}

/// The lease of a VM that took it as the first record that it read, and was heard at 4,500.
fn holder(me: &str) -> Lease {
    let mut lease = Lease::new(me, 0, settings());
    let take = lease.next_record(0, true, 0).expect("free");
    lease.apply(10, &take, 10);
    let alive = lease.next_record(0, false, 4_500).expect("due");
    lease.apply(11, &alive, 4_500);
    lease
}

fn announcement(fence: u64) -> LeaseRecord {
    LeaseRecord::Renew {
        fence,
        attempt: 1,
        orders: true,
    }
}

#[test]
fn errors_on_an_announcement_behind_one_of_an_unknown_holder() {
    // Two VMs hold the lease without knowing of each other, as the log was lost. Both announce
    // orders at once. The announcement that stands second in the log allows none: its writer
    // had not read the first, and would order beside the other.
    let mut lease = holder("a");
    let mine = lease.next_record(0, true, 5_000).expect("due");
    lease.apply(12, &announcement(40), 5_010);
    lease.apply(13, &mine, 5_010);
    assert!(lease.is_held_here());
    assert_eq!(lease.fence(5_020), None);
}

#[test]
fn errors_on_orders_of_an_earlier_life_behind_those_of_an_unknown_holder() {
    // A VM restarts and reads its own take, another holder's orders, and orders that its
    // earlier life announced without having read of the other. They do not tell that the
    // pause behind the other one's orders is over.
    let mut lease = holder("a");
    lease.apply(12, &announcement(40), 5_000);
    lease.apply(13, &announcement(11), 5_000);
    assert!(lease.is_held_here());
    let next = lease.next_record(0, true, 5_100);
    assert!(!matches!(
        next,
        Some(LeaseRecord::Renew { orders: true, .. })
    ));
}

#[test]
fn errors_on_an_announcement_from_before_a_gap() {
    // A holder announces orders, and the log loses records that it has not read, another
    // holder's announcement perhaps among them. What it announced allows nothing any more.
    let mut lease = holder("a");
    let mine = lease.next_record(0, true, 5_000).expect("due");
    let take = LeaseRecord::Acquire {
        holder: "a".into(),
        attempt: 9,
        after: None,
    };
    lease.reset();
    lease.apply(10, &take, 5_010);
    lease.apply(11, &mine, 5_010);
    assert_eq!(lease.fence(5_020), None);
}

#[test]
fn can_end_with_one_holder_where_two_took_the_lease_unknown_to_each_other() {
    // The log is gone and a restarted VM takes the lease beside its holder. Who read only the
    // younger take leaves the lease to the older holder as soon as it is heard.
    let mut younger = holder("c");
    assert!(younger.is_held_here());
    let alive = LeaseRecord::Renew {
        fence: 4,
        attempt: 1,
        orders: false,
    };
    younger.apply(12, &alive, 4_600);
    assert!(!younger.is_held_here());
    assert_eq!(younger.holder(), Some((None, 4)));
    assert_eq!(younger.next_record(0, true, 5_500), None);
}
