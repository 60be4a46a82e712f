//! Tests of group membership with lost and late joins, frozen and killed members, members whose
//! writes fail, and partitions that are all reassigned at once.

use ownership::{MembershipAction, Ownership, OwnershipSettings, partition_of, shard_partition};

const SETTINGS: OwnershipSettings = OwnershipSettings {
    ttl_ms: 1_300,
    unwritable_ms_max: 800,
};
const TICK_MS: u64 = 10;
/// Interval between joins, in milliseconds.
const JOIN_MS: u64 = 350;
/// Timeout of a join, in milliseconds.
const JOIN_TIMEOUT_MS: u64 = 700;
const MEMBERS: usize = 3;
const PARTITIONS: usize = 5;

/// Simulation of the store's side of the group protocol.
#[derive(Default)]
struct Group {
    generation: u64,
    /// Arrival of the last join, by member; `None` for those that are not in the group.
    last_join_ms: [Option<u64>; MEMBERS],
    /// Owner of each partition, and the generation in which the owner was asked to give it up.
    owners: [Option<(usize, Option<u64>)>; PARTITIONS],
    all_reassigned_ms: Option<u64>,
    rotation: usize,
}

impl Group {
    fn expire(&mut self, now_ms: u64) {
        for member in 0..MEMBERS {
            if self.last_join_ms[member].is_some_and(|at| now_ms >= at + SETTINGS.ttl_ms) {
                self.leave(member);
            }
        }
    }

    fn leave(&mut self, member: usize) {
        if self.last_join_ms[member].take().is_some() {
            self.generation += 1;
            let owners = self.owners.iter_mut();
            owners
                .filter(|owner| owner.is_some_and(|(by, _)| by == member))
                .for_each(|owner| *owner = None);
        }
    }

    fn reassign_all(&mut self, now_ms: u64) {
        self.rotation += 1;
        self.generation += 1;
        self.owners = Default::default();
        self.all_reassigned_ms = Some(now_ms);
    }

    fn join(&mut self, member: usize, known: u64, now_ms: u64) -> (u64, Vec<u32>) {
        if self.last_join_ms[member].replace(now_ms).is_none() {
            self.generation += 1;
        }
        let present: Vec<usize> = (0..MEMBERS)
            .filter(|&member| self.last_join_ms[member].is_some())
            .collect();
        let mut assigned = Vec::new();
        for partition in 0..PARTITIONS {
            let assigned_to = present[(partition + self.rotation) % present.len()];
            let owner = &mut self.owners[partition];
            match *owner {
                None if assigned_to == member => *owner = Some((member, None)),
                Some((by, revoked_in)) if by == member && assigned_to != member => {
                    let has_given_up = revoked_in.is_some_and(|revoked_in| known >= revoked_in);
                    *owner = (!has_given_up).then_some((by, revoked_in.or(Some(self.generation))));
                }
                Some((by, Some(_))) if by == member => *owner = Some((by, None)),
                _ => {}
            }
            if *owner == Some((member, None)) {
                assigned.push(partition as u32);
            }
        }
        (self.generation, assigned)
    }
}

/// A join in progress.
struct Pending {
    sent_ms: u64,
    known: u64,
    /// When the join reaches the store; `None` once it arrived or if it is lost.
    arrives_ms: Option<u64>,
    answer: Option<(u64, Vec<u32>)>,
    /// When the answer arrives; `None` if it is lost.
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

    /// Applies a random event; returns false if two members acted for one partition without a
    /// reassignment of all partitions shortly before.
    fn apply(&mut self, (kind, member_at, amount): (u8, u8, u16)) -> bool {
        let (member_at, amount) = (usize::from(member_at) % MEMBERS, u64::from(amount));
        let now_ms = self.now_ms;
        let member = &mut self.members[member_at];
        match kind % 8 {
            0 => member.frozen_until_ms = now_ms + amount % 4_000,
            1 => member.unwritable_since_ms = Some(now_ms),
            2 => member.unwritable_since_ms = None,
            3 => *member = Member::new(now_ms),
            4 => self.group.reassign_all(now_ms),
            // The next joins are lost, or their answers are lost, or the joins are late.
            5 => member.fault = (5 + amount % 3, 1 + amount % 4),
            6 => return self.run(amount % 3_000),
            _ => return self.run(amount % 200),
        }
        true
    }

    /// Lets time pass; returns false if two members acted for one partition without a reassignment
    /// of all partitions shortly before.
    fn run(&mut self, for_ms: u64) -> bool {
        let until_ms = self.now_ms + for_ms;
        let mut is_exclusive = true;
        while self.now_ms < until_ms {
            self.now_ms += TICK_MS;
            self.group.expire(self.now_ms);
            (0..MEMBERS).for_each(|at| self.step(at));
            is_exclusive &= self.is_exclusive();
        }
        is_exclusive
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
            && now_ms < last.sent_ms + JOIN_TIMEOUT_MS
        {
            let answered = last.answered_ms.is_some_and(|answered| answered <= now_ms);
            if !answered {
                return;
            }
            if let Some((generation, partitions)) = last.answer.take() {
                member
                    .ownership
                    .record_join(last.sent_ms, generation, partitions, 0);
                member.next_ms = now_ms + JOIN_MS;
            }
        }
        // A join that timed out may still arrive.
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
        let all_reassigned = self.group.all_reassigned_ms;
        let excused = all_reassigned.is_some_and(|at| self.now_ms <= at + SETTINGS.ttl_ms);
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
    /// Guards against two owners of a partition: whatever happens to joins and members, a member
    /// acts for no partition of another one, unless the store has just reassigned all of them.
    fn two_members_never_act_for_one_partition(events: Vec<(u8, u8, u16)>) -> bool {
        let mut world = World::new();
        let mut is_exclusive = world.run(2_000);
        for event in events {
            is_exclusive &= world.apply(event);
            is_exclusive &= world.run(150);
        }
        is_exclusive
    }

    /// Guards against partitions without an owner: once the faults have ended, each partition has
    /// an owner again within a few TTLs.
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

    /// Guards against a member that keeps partitions while its writes fail and completes nothing:
    /// it must give up all partitions and join again only when writes succeed.
    fn a_member_whose_writes_fail_leaves_the_group(unwritable_ms: u64) -> bool {
        let mut ownership = Ownership::new(SETTINGS);
        ownership.record_join(1_000, 7, [1, 2], 0);
        if ownership.next_action(unwritable_ms) != MembershipAction::StepDown {
            return unwritable_ms <= SETTINGS.unwritable_ms_max;
        }
        ownership.step_down();
        let waits = ownership.next_action(unwritable_ms) == MembershipAction::Wait;
        waits
            && !ownership.owns(1, 1_001)
            && ownership.next_action(0) == MembershipAction::Join { generation: 0 }
    }
}

#[test]
fn can_stop_before_the_store_reassigns_a_partition() {
    // A join is answered late, and the member freezes afterwards. The store counts the TTL from the
    // arrival of the join and the member from its sending, so the member must stop first.
    let mut ownership = Ownership::new(SETTINGS);
    assert!(ownership.record_join(1_000, 1, [3], 0).is_new_generation);
    assert!(ownership.owns(3, 2_299) && !ownership.owns(2, 2_299));
    assert!(!ownership.owns(3, 2_300));
    assert!(
        !ownership.record_join(2_000, 1, [3], 0).is_new_generation,
        "the generation did not change"
    );
    assert!(ownership.owns(3, 3_299));
}

#[test]
fn can_keep_a_partition_when_the_answer_that_revokes_it_is_lost() {
    // A third member returns, and the answers that ask the other two to give up partitions are
    // lost. They continue with what they own. The store must not assume that they gave up a
    // partition before they did.
    for (loser, back_ms) in [0, 1]
        .into_iter()
        .flat_map(|loser| (4_000..4_400).step_by(10).map(move |at| (loser, at)))
    {
        let mut world = World::new();
        world.members[2].frozen_until_ms = back_ms;
        world.run(back_ms - TICK_MS);
        world.members[loser].fault = (6, 3);
        assert!(
            world.run(4_000),
            "answers to member {loser} lost when member 2 returned at {back_ms} ms"
        );
    }
}

#[test]
fn can_continue_started_work_until_another_owner_is_known() {
    // An unreachable store assigns partitions to nobody: started work must continue, and no new
    // work may start. The work must end once another owner may have acted for the partition.
    struct Case {
        name: &'static str,
        event: fn(&mut Ownership),
        continues: bool,
    }
    let cases = [
        Case {
            name: "the TTL has passed",
            event: |_| {},
            continues: true,
        },
        Case {
            name: "the member stepped down because writes fail",
            event: Ownership::step_down,
            continues: true,
        },
        Case {
            name: "the member stepped down, and the store processed the leave",
            event: |ownership| {
                ownership.step_down();
                ownership.record_leave();
            },
            continues: true,
        },
        Case {
            name: "the member stepped down, left and joined again without the partition",
            event: |ownership| {
                ownership.step_down();
                ownership.record_leave();
                ownership.record_join(3_000, 3, [4], 0);
            },
            continues: true,
        },
        Case {
            name: "the partition was reassigned after the membership lapsed",
            event: |ownership| {
                ownership.record_join(3_000, 2, [4], 0);
            },
            continues: false,
        },
        Case {
            name: "the partition was reassigned without a lapse",
            event: |ownership| {
                ownership.record_join(1_300, 2, [4], 0);
                ownership.record_join(1_600, 2, [4], 0);
            },
            continues: true,
        },
        Case {
            name: "the partition was reassigned without a lapse, and the membership lapsed later",
            event: |ownership| {
                ownership.record_join(1_300, 2, [4], 0);
                ownership.record_join(9_000, 2, [4], 0);
            },
            continues: false,
        },
    ];
    for case in cases {
        let mut ownership = Ownership::new(SETTINGS);
        ownership.record_join(1_000, 1, [3], 0);
        (case.event)(&mut ownership);
        assert_eq!(ownership.may_finish(3), case.continues, "{}", case.name);
        assert!(!ownership.owns(3, 4_000), "{}", case.name);
    }
}

#[test]
fn can_rejoin_after_writes_have_failed() {
    // Every member leaves the group during an outage in which writes fail. Afterwards all must join
    // again, so that each partition has an owner.
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
    // If two releases mapped a name to different partitions, a rolling update would have two owners
    // run the steps of the same model.
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
        assert_eq!(
            found, expected,
            "name {:?}, {} partitions",
            case.name, case.partitions
        );
    }
}

/// Guards against a member that starts what the former owner goes on with, because its copy of the
/// records is older than its gain of the partition.
#[test]
fn knows_a_gained_partition_only_by_a_later_read() {
    let mut ownership = Ownership::new(SETTINGS);
    assert!(ownership.record_join(1_000, 1, [3], 5).has_gained);
    assert!(!ownership.has_read_since_gain(3, 5));
    assert!(ownership.has_read_since_gain(3, 6));
    // A renewal is no gain, and one within the same generation is.
    assert!(!ownership.record_join(1_300, 1, [3], 7).has_gained);
    assert!(ownership.has_read_since_gain(3, 6));
    assert!(ownership.record_join(1_600, 1, [3, 4], 8).has_gained);
    assert!(ownership.has_read_since_gain(3, 6) && !ownership.has_read_since_gain(4, 8));
    // A partition that was lost, or whose membership has lapsed, is gained again.
    ownership.record_join(1_900, 2, [4], 9);
    assert!(ownership.record_join(2_200, 3, [3, 4], 10).has_gained);
    assert!(!ownership.has_read_since_gain(3, 10) && ownership.has_read_since_gain(4, 9));
    assert!(ownership.record_join(60_000, 3, [3, 4], 11).has_gained);
    assert!(!ownership.has_read_since_gain(4, 11));
}
