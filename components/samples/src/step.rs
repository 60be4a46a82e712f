//! A training step as its trainer posts it: groups of samples, with one prompt per group.
//!
//! A slot is one sample of the step. Slots are addressed by position, their index within the
//! step, so a set of slots is a set of small integers. The digest covers everything that
//! determines the generated texts, so two posts of a step with different content have
//! different digests.

use derive::{wire, wire_key};
use quick_error::quick_error;
use sha2::{Digest, Sha256};
use types::{CustomerName, ServiceName};

use crate::slots::SLOTS_MAX;

/// Bytes of a step's digest.
const DIGEST_BYTES: usize = 16;

quick_error! {
    /// Why a post is invalid.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum StepError {
        /// The groups request no samples.
        Empty {
            display("the step has no samples")
        }
        /// The step has more slots than a cursor can hold. Carries the number of slots.
        TooManySlots(slots: u64) {
            display("the step has {} samples, at most {} are allowed", slots, SLOTS_MAX)
        }
    }
}

/// Identifies a step.
#[wire]
#[derive(Hash, PartialOrd, Ord)]
pub struct StepKey {
    /// Customer that the trainer belongs to.
    pub customer: CustomerName,
    /// Service of the trained model.
    pub service: ServiceName,
    /// Step number, assigned by the trainer.
    pub step: u64,
}

/// One sample of a step, by group.
#[wire_key]
pub struct Slot {
    /// Index of the group within the step.
    pub group: u32,
    /// Index of the sample within the group.
    pub index: u32,
}

/// One prompt and the number of samples to generate from it.
#[wire]
pub struct Group {
    /// Text that every sample of the group continues.
    pub prompt: String,
    /// Number of samples to generate; may be zero.
    pub samples: u32,
}

/// Truncated SHA-256 digest of a step's key and content.
#[wire_key]
pub struct StepDigest(pub [u8; DIGEST_BYTES]);

/// A posted step with at least one slot.
#[wire]
#[serde(try_from = "Post", into = "Post")]
pub struct Step {
    /// Customer, service and number of the step.
    pub key: StepKey,
    /// Groups in the order of the post.
    pub groups: Vec<Group>,
    /// Maximum number of tokens of one sample.
    pub max_tokens: u32,
    digest: StepDigest,
    /// Position of each group's first slot.
    starts: Vec<u32>,
    total: u32,
}

/// Wire format of a step; the receiver recomputes the digest and positions.
#[wire]
struct Post {
    key: StepKey,
    groups: Vec<Group>,
    max_tokens: u32,
}

impl TryFrom<Post> for Step {
    type Error = StepError;

    fn try_from(post: Post) -> Result<Self, StepError> {
        Step::new(post.key, post.groups, post.max_tokens)
    }
}

impl From<Step> for Post {
    fn from(step: Step) -> Post {
        Post {
            key: step.key,
            groups: step.groups,
            max_tokens: step.max_tokens,
        }
    }
}

impl Step {
    /// Validates a post and computes its digest.
    pub fn new(key: StepKey, groups: Vec<Group>, max_tokens: u32) -> Result<Self, StepError> {
        let slots: u64 = groups.iter().map(|group| u64::from(group.samples)).sum();
        if slots == 0 {
            return Err(StepError::Empty);
        }
        if slots > u64::from(SLOTS_MAX) {
            return Err(StepError::TooManySlots(slots));
        }
        let starts = starts(&groups);
        let digest = digest(&key, &groups, max_tokens);
        Ok(Self {
            key,
            groups,
            max_tokens,
            digest,
            starts,
            total: slots as u32,
        })
    }

    /// Digest of key, groups and `max_tokens`. The trainer's version is left out, because it
    /// changes between posts of the same step.
    pub fn digest(&self) -> StepDigest {
        self.digest
    }

    /// Number of slots of all groups.
    pub fn total(&self) -> u32 {
        self.total
    }

    /// The slot at a position; `None` if the step has fewer slots.
    pub fn slot(&self, position: u32) -> Option<Slot> {
        if position >= self.total {
            return None;
        }
        let after = self.starts.partition_point(|&start| start <= position);
        let group = after.checked_sub(1)?;
        Some(Slot {
            group: group as u32,
            index: position - self.starts[group],
        })
    }

    /// Position of a slot; `None` if the step has no such slot.
    pub fn position(&self, slot: Slot) -> Option<u32> {
        let group = self.groups.get(slot.group as usize)?;
        if slot.index >= group.samples {
            return None;
        }
        Some(self.starts[slot.group as usize] + slot.index)
    }

    /// Positions of a group's slots; empty if the step has no such group.
    pub fn group_positions(&self, group: u32) -> std::ops::Range<u32> {
        let start = self.starts.get(group as usize).copied();
        let start = start.unwrap_or(self.total);
        let samples = self.groups.get(group as usize).map_or(0, |g| g.samples);
        start..start + samples
    }

    /// Total size of the prompts.
    pub fn prompt_bytes(&self) -> usize {
        self.groups.iter().map(|group| group.prompt.len()).sum()
    }

    /// Prompt that a slot's sample continues; `None` if the step has no such group.
    pub fn prompt(&self, slot: Slot) -> Option<&str> {
        let group = self.groups.get(slot.group as usize)?;
        Some(&group.prompt)
    }
}

fn starts(groups: &[Group]) -> Vec<u32> {
    let mut next = 0;
    let start = |group: &Group| {
        let start = next;
        next += group.samples;
        start
    };
    groups.iter().map(start).collect()
}

fn digest(key: &StepKey, groups: &[Group], max_tokens: u32) -> StepDigest {
    let mut hash = Sha256::new();
    let mut part = |bytes: &[u8]| {
        hash.update((bytes.len() as u64).to_be_bytes());
        hash.update(bytes);
    };
    part(key.customer.as_str().as_bytes());
    part(key.service.as_str().as_bytes());
    part(&key.step.to_be_bytes());
    part(&max_tokens.to_be_bytes());
    for group in groups {
        part(&group.samples.to_be_bytes());
        part(group.prompt.as_bytes());
    }
    let whole = hash.finalize();
    let mut digest = [0; DIGEST_BYTES];
    digest.copy_from_slice(&whole[..DIGEST_BYTES]);
    StepDigest(digest)
}
