//! A step of training as its trainer posts it: groups of samples, one prompt a group.
//!
//! Everything about a step is found by a slot's place in it, so a set of slots is a
//! set of small numbers. The digest covers all that decides what is generated; two
//! posts of one step with different content are told apart by it.

use derive::{wire, wire_key};
use quick_error::quick_error;
use sha2::{Digest, Sha256};
use types::{CustomerName, ServiceName};

use crate::slots::SLOTS_MAX;

/// Bytes of a step's digest.
const DIGEST_BYTES: usize = 16;

quick_error! {
    /// Why a post is not a step.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum StepError {
        /// No slot at all.
        Empty {
            display("the step has no samples")
        }
        /// More slots than a cursor can carry.
        TooManySlots(slots: u64) {
            display("the step has {} samples, at most {} are allowed", slots, SLOTS_MAX)
        }
    }
}

/// Name of a step.
#[wire]
#[derive(Hash, PartialOrd, Ord)]
pub struct StepKey {
    /// Customer that trains.
    pub customer: CustomerName,
    /// Model that is trained.
    pub service: ServiceName,
    /// Number that the trainer gave the step.
    pub step: u64,
}

/// Place of one sample in its step.
#[wire_key]
pub struct Slot {
    /// Which group.
    pub group: u32,
    /// Which sample of the group.
    pub index: u32,
}

/// One prompt and the number of samples wanted of it.
#[wire]
pub struct Group {
    /// The prompt.
    pub prompt: String,
    /// Samples wanted.
    pub samples: u32,
}

/// Digest of what a step asks for.
#[wire_key]
pub struct StepDigest(pub [u8; DIGEST_BYTES]);

/// A step as it was posted.
#[wire]
#[serde(try_from = "Post", into = "Post")]
pub struct Step {
    /// Its name.
    pub key: StepKey,
    /// Its groups in order.
    pub groups: Vec<Group>,
    /// Tokens of one sample at most.
    pub max_tokens: u32,
    digest: StepDigest,
    /// Place of the first slot of each group.
    starts: Vec<u32>,
    total: u32,
}

/// A step on the wire; what follows from the content is worked out again on arrival.
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
    /// Checks and stores a post.
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

    /// Digest of the post; leaves out the trainer's version, which changes with time.
    pub fn digest(&self) -> StepDigest {
        self.digest
    }

    /// Number of slots.
    pub fn total(&self) -> u32 {
        self.total
    }

    /// The slot at a place, if the step has that many.
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

    /// Place of a slot, if the step has it.
    pub fn position(&self, slot: Slot) -> Option<u32> {
        let group = self.groups.get(slot.group as usize)?;
        if slot.index >= group.samples {
            return None;
        }
        Some(self.starts[slot.group as usize] + slot.index)
    }

    /// Places of a group's slots.
    pub fn group_positions(&self, group: u32) -> std::ops::Range<u32> {
        let start = self.starts.get(group as usize).copied();
        let start = start.unwrap_or(self.total);
        let samples = self.groups.get(group as usize).map_or(0, |g| g.samples);
        start..start + samples
    }

    /// Bytes of its prompts together.
    pub fn prompt_bytes(&self) -> usize {
        self.groups.iter().map(|group| group.prompt.len()).sum()
    }

    /// Prompt of a slot.
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
