//! Members of a group under lost and late joins, frozen and killed members, members that can't
//! write, and partitions that are dealt anew.

use ownership::{MembershipAction, Ownership, OwnershipSettings, partition_of, shard_partition};

const SETTINGS: OwnershipSettings = OwnershipSettings {
    ttl_ms: 1_300,
    unwritable_ms_max: 800,
};
const TICK_MS: u64 = 10;
/// Pause between joins, in milliseconds.
const JOIN_MS: u64 = 350;
/// Longest time for a join, in milliseconds.
const WITHIN_MS: u64 = 700;
const MEMBERS: usize = 3;
const PARTITIONS: usize = 5;

/// The store's side of a group, as its protocol has it.
#[derive(Default)]
struct Group {
    generation: u64,
    /// When the last join of each member arrived.
    arrived_ms: [Option<u64>; MEMBERS],
    /// Who has a partition, and since which generation that one was told to give it up.
    held: [Option<(usize, Option<u64>)>; PARTITIONS],
    dealt_anew_ms: Option<u64>,
    turn: usize,
}

impl Group {
    fn expire(&mut self, now_ms: u64) {
        for member in 0..MEMBERS {
            if self.arrived_ms[member].is_some_and(|at| now_ms >= at + SETTINGS.ttl_ms) {
                self.leave(member);
            }
        }
    }

    fn leave(&mut self, member: usize) {
        if self.arrived_ms[member].take().is_some() {
            self.generation += 1;
            let held = self.held.iter_mut();
            held.filter(|held| held.is_some_and(|(by, _)| by == member))
                .for_each(|held| *held = None);
        }
    }

    fn deal_anew(&mut self, now_ms: u64) {
        self.turn += 1;
        self.generation += 1;
        self.held = Default::default();
        self.dealt_anew_ms = Some(now_ms);
    }

    fn join(&mut self, member: usize, known: u64, now_ms: u64) -> (u64, Vec<u32>) {
        if self.arrived_ms[member].replace(now_ms).is_none() {
            self.generation += 1;
        }
        let present: Vec<usize> = (0..MEMBERS)
            .filter(|&member| self.arrived_ms[member].is_some())
            .collect();
        let mut mine = Vec::new();
        for partition in 0..PARTITIONS {
            let dealt_to = present[(partition + self.turn) % present.len()];
            let held = &mut self.held[partition];
            match *held {
                None if dealt_to == member => *held = Some((member, None)),
                Some((by, told)) if by == member && dealt_to != member => {
                    let gave_up = told.is_some_and(|told| known >= told);
                    *held = (!gave_up).then_some((by, told.or(Some(self.generation))));
                }
                Some((by, Some(_))) if by == member => *held = Some((by, None)),
                _ => {}
            }
            if *held == Some((member, None)) {
                mine.push(partition as u32);
            }
        }
        (self.generation, mine)
    }
}

/// A join under way.
struct Pending {
    sent_ms: u64,
    known: u64,
    /// When it reaches the store; never if it is lost.
    arrives_ms: Option<u64>,
    answer: Option<(u64, Vec<u32>)>,
    /// When its answer comes; never if it is lost.
    answered_ms: Option<u64>,
}

struct Member {
    ownership: Ownership,
    pending: Vec<Pending>,
    next_ms: u64,
    frozen_until_ms: u64,
    unwritable_since_ms: Option<u64>,
    fault: (u64, u64),
}

impl Member {
    fn new(now_ms: u64) -> Self {
        Self {
            ownership: Ownership::new(SETTINGS),
            pending: Vec::new(),
            next_ms: now_ms,
            frozen_until_ms: 0,
            unwritable_since_ms: None,
            fault: (0, 0),
        }
    }

    fn acts_for(&self, partition: u32, now_ms: u64) -> bool {
        now_ms >= self.frozen_until_ms && self.ownership.owns(partition, now_ms)
    }
}

struct World {
    now_ms: u64,
    group: Group,
    members: Vec<Member>,
}

impl World {
    fn new() -> Self {
        Self {
            now_ms: 0,
            group: Group::default(),
            members: (0..MEMBERS).map(|_| Member::new(0)).collect(),
        }
    }

    /// Something happens; false when two members act for one partition without reason.
    fn apply(&mut self, (what, who, how): (u8, u8, u16)) -> bool {
        let (who, how) = (usize::from(who) % MEMBERS, u64::from(how));
        let now_ms = self.now_ms;
        let member = &mut self.members[who];
        match what % 8 {
            0 => member.frozen_until_ms = now_ms + how % 4_000,
            1 => member.unwritable_since_ms = Some(now_ms),
            2 => member.unwritable_since_ms = None,
            3 => *member = Member::new(now_ms),
            4 => self.group.deal_anew(now_ms),
            // The next joins are lost, or their answers, or both come late.
            5 => member.fault = (5 + how % 3, 1 + how % 4),
            6 => return self.run(how % 3_000),
            _ => return self.run(how % 200),
        }
        true
    }

    /// Lets time pass; false when two members act for one partition without reason.
    fn run(&mut self, for_ms: u64) -> bool {
        let until_ms = self.now_ms + for_ms;
        let mut kept = true;
        while self.now_ms < until_ms {
            self.now_ms += TICK_MS;
            self.group.expire(self.now_ms);
            (0..MEMBERS).for_each(|at| self.step(at));
            kept &= self.is_exclusive();
        }
        kept
    }

    fn step(&mut self, at: usize) {
        let now_ms = self.now_ms;
        let member = &mut self.members[at];
        for pending in &mut member.pending {
            if pending.arrives_ms.is_some_and(|arrives| arrives <= now_ms) {
                pending.arrives_ms = None;
                pending.answer = Some(self.group.join(at, pending.known, now_ms));
            }
        }
        if now_ms < member.frozen_until_ms {
            return;
        }
        if let Some(last) = member.pending.last_mut()
            && now_ms < last.sent_ms + WITHIN_MS
        {
            let answered = last.answered_ms.is_some_and(|answered| answered <= now_ms);
            if !answered {
                return;
            }
            if let Some((generation, partitions)) = last.answer.take() {
                member
                    .ownership
                    .record_join(last.sent_ms, generation, partitions);
                member.next_ms = now_ms + JOIN_MS;
            }
        }
        // A join that was given up may still arrive.
        member
            .pending
            .retain(|pending| pending.arrives_ms.is_some());
        if now_ms < member.next_ms {
            return;
        }
        member.next_ms = now_ms + JOIN_MS;
        let unwritable = member.unwritable_since_ms.map_or(0, |since| now_ms - since);
        match member.ownership.next_action(unwritable) {
            MembershipAction::Join { generation } => {
                let pending = sent(&mut member.fault, generation, now_ms);
                member.pending.push(pending);
                member.next_ms = now_ms;
            }
            MembershipAction::StepDown => {
                member.ownership.step_down();
                self.group.leave(at);
            }
            MembershipAction::Wait => {}
        }
    }

    fn actors(&self, partition: u32) -> usize {
        let acts = |member: &&Member| member.acts_for(partition, self.now_ms);
        self.members.iter().filter(acts).count()
    }

    fn is_exclusive(&self) -> bool {
        let dealt_anew = self.group.dealt_anew_ms;
        let excused = dealt_anew.is_some_and(|at| self.now_ms <= at + SETTINGS.ttl_ms);
        excused || (0..PARTITIONS as u32).all(|partition| self.actors(partition) <= 1)
    }
}

fn sent(fault: &mut (u64, u64), known: u64, now_ms: u64) -> Pending {
    let (kind, left) = *fault;
    fault.1 = left.saturating_sub(1);
    let kind = if left > 0 { kind } else { 0 };
    Pending {
        sent_ms: now_ms,
        known,
        arrives_ms: match kind {
            5 => None,
            7 => Some(now_ms + 2_000),
            _ => Some(now_ms + 20),
        },
        answer: None,
        answered_ms: match kind {
            5..=7 => None,
            _ => Some(now_ms + 40),
        },
    }
}

checks::seeded! {
    /// Whatever happens to joins and members, nobody acts for a partition of another one,
    /// unless the store has just dealt all of them anew.
    fn two_members_never_act_for_one_partition(events: Vec<(u8, u8, u16)>) -> bool {
        let mut world = World::new();
        let mut kept = world.run(2_000);
        for event in events {
            kept &= world.apply(event);
            kept &= world.run(150);
        }
        kept
    }

    /// When the trouble is over, every partition is somebody's within a few times to live.
    fn somebody_acts_for_each_partition_again(events: Vec<(u8, u8, u16)>) -> bool {
        let mut world = World::new();
        world.run(500);
        for event in events {
            world.apply(event);
            world.run(50);
        }
        for member in &mut world.members {
            member.unwritable_since_ms = None;
            member.fault = (0, 0);
            member.frozen_until_ms = member.frozen_until_ms.min(world.now_ms);
        }
        world.run(6 * SETTINGS.ttl_ms);
        (0..PARTITIONS as u32).all(|partition| world.actors(partition) == 1)
    }

    /// A member that can't write gives everything up, and takes nothing until it can.
    fn a_member_that_cannot_write_stands_back(unwritable_ms: u64) -> bool {
        let mut ownership = Ownership::new(SETTINGS);
        ownership.record_join(1_000, 7, [1, 2]);
        if ownership.next_action(unwritable_ms) != MembershipAction::StepDown {
            return unwritable_ms <= SETTINGS.unwritable_ms_max;
        }
        ownership.step_down();
        let waits = ownership.next_action(unwritable_ms) == MembershipAction::Wait;
        waits && !ownership.owns(1, 1_001) && ownership.next_action(0) == MembershipAction::Join { generation: 0 }
    }
}

#[test]
fn can_stop_before_the_store_hands_a_partition_on() {
    // A join is answered late, and the member is frozen behind it. The store counts from the
    // arrival, the member from the moment before, so that it stops first.
    let mut ownership = Ownership::new(SETTINGS);
    assert!(ownership.record_join(1_000, 1, [3]));
    assert!(ownership.owns(3, 2_299) && !ownership.owns(2, 2_299));
    assert!(!ownership.owns(3, 2_300));
    assert!(!ownership.record_join(2_000, 1, [3]), "the same generation");
    assert!(ownership.owns(3, 3_299));
}

#[test]
fn can_keep_a_partition_whose_loss_was_told_in_a_lost_answer() {
    // A third member comes back, and each of the other two is told to give partitions up in an
    // answer that is lost. They go on with what they know; the store must not hear that they
    // have given anything up before they have.
    for (loser, back_ms) in [0, 1]
        .into_iter()
        .flat_map(|loser| (4_000..4_400).step_by(10).map(move |at| (loser, at)))
    {
        let mut world = World::new();
        world.members[2].frozen_until_ms = back_ms;
        world.run(back_ms - TICK_MS);
        world.members[loser].fault = (6, 3);
        assert!(world.run(4_000), "member {loser}, {back_ms} ms");
    }
}

#[test]
fn can_go_on_with_what_was_begun_until_another_member_is_known() {
    // A store that is away deals to nobody: what was begun goes on, and nothing new begins.
    // Once it is known that another member has or gets the partition, it ends.
    struct Case {
        name: &'static str,
        happens: fn(&mut Ownership),
        goes_on: bool,
    }
    let cases = [
        Case {
            name: "the time to live is over",
            happens: |_| {},
            goes_on: true,
        },
        Case {
            name: "it can't write",
            happens: Ownership::step_down,
            goes_on: true,
        },
        Case {
            name: "it can't write and the store knows that it left",
            happens: |ownership| {
                ownership.step_down();
                ownership.record_leave();
            },
            goes_on: true,
        },
        Case {
            name: "the same, and it is a member again",
            happens: |ownership| {
                ownership.step_down();
                ownership.record_leave();
                ownership.record_join(3_000, 3, [4]);
            },
            goes_on: true,
        },
        Case {
            name: "another member was dealt it",
            happens: |ownership| {
                ownership.record_join(3_000, 2, [4]);
            },
            goes_on: false,
        },
        Case {
            name: "another member was dealt it while the membership held",
            happens: |ownership| {
                ownership.record_join(1_300, 2, [4]);
                ownership.record_join(1_600, 2, [4]);
            },
            goes_on: true,
        },
        Case {
            name: "the same, and it lapsed since",
            happens: |ownership| {
                ownership.record_join(1_300, 2, [4]);
                ownership.record_join(9_000, 2, [4]);
            },
            goes_on: false,
        },
    ];
    for case in cases {
        let mut ownership = Ownership::new(SETTINGS);
        ownership.record_join(1_000, 1, [3]);
        (case.happens)(&mut ownership);
        assert_eq!(ownership.may_finish(3), case.goes_on, "{}", case.name);
        assert!(!ownership.owns(3, 4_000), "{}", case.name);
    }
}

#[test]
fn can_come_back_after_a_time_without_writing() {
    // Every member stands back in an outage, and all take their partitions again behind it.
    let mut world = World::new();
    world.run(2_000);
    for member in &mut world.members {
        member.unwritable_since_ms = Some(2_000);
    }
    assert!(world.run(3_000));
    assert!((0..PARTITIONS as u32).all(|partition| world.actors(partition) == 0));
    for member in &mut world.members {
        member.unwritable_since_ms = None;
    }
    assert!(world.run(3_000));
    assert!((0..PARTITIONS as u32).all(|partition| world.actors(partition) == 1));
}

#[test]
fn can_find_the_same_partition_in_every_release() {
    // Two releases side by side that differ would have two owners run one model's steps.
    struct Case {
        name: &'static str,
        partitions: u32,
        partition: u32,
        shards: [u32; 3],
    }
    let case = |name, partitions, partition, shards| Case {
        name,
        partitions,
        partition,
        shards,
    };
    let cases = [
        case("", 24, 5, [22, 21, 20]),
        case("pool-a", 24, 9, [22, 21, 20]),
        case("model-a", 24, 4, [23, 22, 21]),
        case("model-b", 24, 13, [22, 21, 20]),
        case("model-b", 1, 0, [0, 0, 0]),
        case("model-b", 4, 1, [3, 2, 1]),
    ];
    for case in cases {
        let partition = partition_of(case.name, case.partitions);
        let shards = [0, 1, 2].map(|shard| shard_partition(case.name, shard, case.partitions));
        let found = (partition, shards);
        let expected = (case.partition, case.shards);
        assert_eq!(found, expected, "{} of {}", case.name, case.partitions);
    }
}
