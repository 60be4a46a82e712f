//! When steps end, and which of their groups are needed for that.
//!
//! A group ends with the latest of its texts. A step ends with the latest of the groups that the
//! trainer waits for, which are those that end first. The other groups are dispensable.

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
        let mut groups_us: Vec<Vec<u64>> = steps
            .iter()
            .map(|step| vec![0; step.groups.len()])
            .collect();
        for (text, end_us) in texts.iter().zip(&text_us) {
            let group_us = &mut groups_us[text.step][text.group];
            *group_us = (*group_us).max(*end_us);
        }
        let ends = steps
            .iter()
            .zip(&groups_us)
            .map(|(step, groups_us)| step_end(step, groups_us));
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

fn step_end(step: &StepView, groups_us: &[u64]) -> StepEnd {
    let mut order: Vec<usize> = (0..groups_us.len()).collect();
    order.sort_by_key(|group| (!step.groups[*group].complete, groups_us[*group]));
    let wanted = match step.groups_wanted as usize {
        0 => order.len(),
        wanted => wanted.min(order.len()),
    };
    let mut needed = vec![false; order.len()];
    for group in &order[..wanted] {
        needed[*group] = true;
    }
    let last = order[..wanted].last();
    let end_us = last.map_or(0, |group| groups_us[*group]);
    let surely_later_us = end_us + end_us / DISPENSABLE_INVERSE;
    let is_dispensable = |(needed, group_us): (&bool, &u64)| !needed && *group_us > surely_later_us;
    StepEnd {
        end_us,
        dispensable: needed.iter().zip(groups_us).map(is_dispensable).collect(),
        needed,
    }
}
