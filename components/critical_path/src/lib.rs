//! Decides at which replica each waiting text of a training step is generated, and which running
//! texts continue at another replica, so that steps end as early as possible.
//!
//! A trainer waits until a number of the groups of its step are complete. A group is complete once
//! its last text is, so the end of a step depends on few of its texts. The package estimates when
//! each text ends, derives from that which groups are needed and which texts decide the end of the
//! step, and moves only these.
//!
//! Replicas differ in speed for their whole life and become slower for some seconds. Both are in
//! [`pace::PaceEstimate`]. Text lengths are uncertain ([`lengths::EventsLeft`]), so each pass plans
//! anew from what is known, and a running text stays where it is unless its step gains by a move.
//!
//! The crate does no I/O and reads no clock or random source.

mod candidates;
mod cost;
mod ends;
mod moves;
mod placement;

use derive::value;
use dispatch::{Engine, Placement, WaitingRank};
use lengths::EventsLeft;
use pace::{PaceEstimate, PoolPace};

use cost::ReplicaCosts;
use ends::StepEnds;

/// How waiting texts are assigned to replicas.
#[value]
#[derive(Copy)]
pub enum Policy {
    /// Each text goes to the replica where it is expected to end first.
    EarliestFinish,
    /// Short texts go to slower replicas, and fast slots stay free for texts at slow replicas that
    /// may become long.
    ReserveFast,
}

/// A step with texts that wait or run.
#[value]
pub struct StepView {
    /// Number of older steps of the same customer and model that also have waiting texts.
    pub turn: u32,
    /// Rank of the customer and the route.
    pub rank: WaitingRank,
    /// Position of the step by age; the oldest step has the lowest value.
    pub age_rank: u64,
    /// Time until the results are due; negative once that has passed.
    pub due_in_ms: i64,
    /// Number of complete groups that the trainer waits for; 0 for all groups.
    pub groups_wanted: u32,
    /// Groups of the step, by number.
    pub groups: Vec<GroupView>,
}

/// A group of texts that is complete once all of them are listed.
#[value]
#[derive(Copy)]
pub struct GroupView {
    /// Whether all texts of the group are listed.
    pub complete: bool,
}

/// A text that waits for a replica or runs at one.
#[value]
pub struct TextView {
    /// Index of the step.
    pub step: usize,
    /// Number of the group in the step.
    pub group: usize,
    /// Index of the model among the models that share the replicas.
    pub model: usize,
    /// Estimated number of events until the text is complete.
    pub left: EventsLeft,
    /// Oldest version of the weights that may generate the text.
    pub min_version: u64,
    /// The only version that may continue the text, if the route forbids mixed versions and the
    /// text was already started.
    pub only_version: Option<u64>,
    /// Index of the replica at which a run of this text was just interrupted; it is used only if no
    /// other replica fits.
    pub avoid: Option<usize>,
    /// Index of the replica that a move of this text was planned for. Its slot is still accounted
    /// for: the text left another slot to get there.
    pub planned: Option<usize>,
    /// The run in progress; `None` while the text waits.
    pub run: Option<RunView>,
}

/// A text's run at a replica.
#[value]
pub struct RunView {
    /// Index of the replica.
    pub replica: usize,
    /// Time since the newest event, or since the run was sent if it has none.
    pub silent_ms: u64,
    /// Time since the text was last moved; `None` if it never was.
    pub moved_ms_ago: Option<u64>,
    /// Replicas that the text was moved away from and that have not recovered since, each with the
    /// time since then.
    pub left_replicas: Vec<(usize, u64)>,
}

/// A replica that may generate texts.
#[value]
pub struct ReplicaView {
    /// Weights and free slots.
    pub engine: Engine,
    /// Interval between events with one more run than now.
    pub pace: PaceEstimate,
    /// How long the replica has deviated from its steady pace; `None` if it does not.
    pub deviates_for_ms: Option<u64>,
}

/// What to start and what to move.
#[value]
#[derive(Default)]
pub struct Plan {
    /// Waiting texts to start, in the order in which they should start.
    pub placements: Vec<Placement>,
    /// Runs to stop, so that their texts continue at another replica.
    pub moves: Vec<Move>,
}

/// A run that continues at another replica.
#[value]
#[derive(Copy)]
pub struct Move {
    /// Index of the text.
    pub text: usize,
    /// Index of the replica that the text continues at.
    pub to: usize,
    /// Why the text is moved.
    pub cause: MoveCause,
    /// How much earlier the step is expected to end; 0 for a stalled run.
    pub gain_ms: u64,
    /// Uncertainty of the gain that comes from both replicas' paces and from the rest of a
    /// deviation; 0 for a stalled run.
    pub doubt_ms: u64,
}

/// Why a text is moved.
#[value]
#[derive(Copy)]
pub enum MoveCause {
    /// The run has produced no event for the stall threshold.
    Stalled,
    /// The replica is slower than its own steady pace.
    Slower,
    /// The text decides the end of its step, and another replica is steadily faster.
    Critical,
}

impl MoveCause {
    /// The name used in log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            MoveCause::Stalled => "stalled",
            MoveCause::Slower => "slower",
            MoveCause::Critical => "critical",
        }
    }
}

/// Places the waiting texts on free slots of `replicas`, then selects runs to move to slots that
/// are still free. Takes the slots. A run counts as stalled after `stalled_ms` without an event.
pub fn plan(
    policy: Policy,
    pool: &PoolPace,
    steps: &[StepView],
    texts: &[TextView],
    replicas: &mut [ReplicaView],
    stalled_ms: u64,
) -> Plan {
    if texts.is_empty() || replicas.is_empty() {
        return Plan::default();
    }
    let mut costs = ReplicaCosts::new(pool, replicas);
    let ends = StepEnds::new(steps, texts, &costs);
    costs.add_needed_runs(texts, &ends);
    let placements = placement::place(policy, steps, texts, &ends, &mut costs, replicas);
    let moves = moves::select(texts, &ends, &placements, &mut costs, replicas, stalled_ms);
    Plan { placements, moves }
}
