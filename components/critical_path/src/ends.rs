//! When steps end, and which of their groups are needed for that.
//!
//! A group ends with the latest of its texts. A step ends with the latest of the groups that the
//! trainer waits for, which are those that can end first. The other groups are dispensable.
//!
//! Groups are compared by the ends that they can reach. With the present ends, a text at a replica
//! that has become slower would make its group dispensable, and would not be moved any more.

use crate::cost::ReplicaCosts;
use crate::{StepView, TextView};

/// A group that is expected to end later than its step by less than this part of the step's time
/// may still be needed, because lengths are uncertain. Its texts are not placed last.
const DISPENSABLE_INVERSE: u64 = 2;

/// Expected ends of texts and steps.
#[derive(Debug)]
pub(crate) struct StepEnds {
    text_us: Vec<u64>,
    steps: Vec<StepEnd>,
}

#[derive(Clone, Copy, Debug, Default)]
struct GroupEnd {
    /// End if its texts stay where they are.
    end_us: u64,
    /// End if its texts are moved.
    reachable_us: u64,
}

#[derive(Debug)]
struct StepEnd {
    end_us: u64,
    /// Whether the step needs the group, by number of the group.
    needed: Vec<bool>,
    /// Whether the step surely does not need the group, by number of the group.
    dispensable: Vec<bool>,
}

impl StepEnds {
    pub(crate) fn new(steps: &[StepView], texts: &[TextView], costs: &ReplicaCosts) -> Self {
        let text_us: Vec<u64> = texts.iter().map(|text| costs.end_us(text)).collect();
        // Complete groups, and groups whose texts are all complete and being scored, end at 0.
        let mut groups: Vec<Vec<GroupEnd>> = steps
            .iter()
            .map(|step| vec![GroupEnd::default(); step.groups.len()])
            .collect();
        for (text, end_us) in texts.iter().zip(&text_us) {
            let group = &mut groups[text.step][text.group];
            group.end_us = group.end_us.max(*end_us);
            let reachable_us = costs.reachable_us(text).min(*end_us);
            group.reachable_us = group.reachable_us.max(reachable_us);
        }
        let ends = steps
            .iter()
            .zip(&groups)
            .map(|(step, groups)| step_end(step, groups));
        Self {
            steps: ends.collect(),
            text_us,
        }
    }

    /// Time until a text is complete.
    pub(crate) fn text_us(&self, text: usize) -> u64 {
        self.text_us[text]
    }

    /// Time until the last needed text of a step is complete.
    pub(crate) fn step_us(&self, step: usize) -> u64 {
        self.steps[step].end_us
    }

    /// Whether the step of a text needs its group.
    pub(crate) fn is_needed(&self, text: &TextView) -> bool {
        self.steps[text.step].needed[text.group]
    }

    /// Whether the group of a text ends so much later than its step that the step hardly needs it.
    pub(crate) fn is_dispensable(&self, text: &TextView) -> bool {
        self.steps[text.step].dispensable[text.group]
    }
}

fn step_end(step: &StepView, groups: &[GroupEnd]) -> StepEnd {
    let mut order: Vec<usize> = (0..groups.len()).collect();
    order.sort_by_key(|group| (!step.groups[*group].complete, groups[*group].reachable_us));
    let wanted = match step.groups_wanted as usize {
        0 => order.len(),
        wanted => wanted.min(order.len()),
    };
    let mut needed = vec![false; order.len()];
    for group in &order[..wanted] {
        needed[*group] = true;
    }
    let wanted = || order[..wanted].iter().map(|group| &groups[*group]);
    let end_us = wanted().map(|group| group.end_us).max().unwrap_or(0);
    let reachable_us = wanted().map(|group| group.reachable_us).max().unwrap_or(0);
    let surely_later_us = reachable_us + reachable_us / DISPENSABLE_INVERSE;
    let is_dispensable =
        |(needed, group): (&bool, &GroupEnd)| !needed && group.reachable_us > surely_later_us;
    StepEnd {
        end_us,
        dispensable: needed.iter().zip(groups).map(is_dispensable).collect(),
        needed,
    }
}
