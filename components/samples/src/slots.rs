//! A set of slots of one step, as a bit set.

use derive::value;

/// Maximum number of slots of a step.
pub(crate) const SLOTS_MAX: u32 = 4_096;
const WORD_BITS: u32 = u64::BITS;

/// Set of slot positions in a step with a fixed number of slots.
#[value]
pub struct SlotSet {
    words: Vec<u64>,
    total: u32,
}

impl SlotSet {
    /// Creates an empty set for a step of `total` slots.
    pub fn new(total: u32) -> Self {
        Self {
            words: vec![0; total.div_ceil(WORD_BITS) as usize],
            total,
        }
    }

    /// Number of slots of the step.
    pub fn total(&self) -> u32 {
        self.total
    }

    /// Number of slots in the set.
    pub fn len(&self) -> u32 {
        self.words.iter().map(|word| word.count_ones()).sum()
    }

    /// Whether no slot is in the set.
    pub fn is_empty(&self) -> bool {
        self.words.iter().all(|&word| word == 0)
    }

    /// Whether every slot of the step is in the set.
    pub fn is_full(&self) -> bool {
        self.len() == self.total
    }

    /// Whether the slot at `position` is in the set.
    pub fn contains(&self, position: u32) -> bool {
        position < self.total && self.words[(position / WORD_BITS) as usize] & bit(position) != 0
    }

    /// Adds the slot at `position`. Returns false if it was in the set or the step has no such
    /// slot.
    pub fn insert(&mut self, position: u32) -> bool {
        if position >= self.total || self.contains(position) {
            return false;
        }
        self.words[(position / WORD_BITS) as usize] |= bit(position);
        true
    }

    /// Adds every slot of `other`, which must be a set of the same step.
    pub fn extend(&mut self, other: &SlotSet) {
        other.iter().for_each(|position| {
            self.insert(position);
        });
    }

    /// Whether the sets have a slot in common.
    pub fn intersects(&self, other: &SlotSet) -> bool {
        self.words.iter().zip(&other.words).any(|(a, b)| a & b != 0)
    }

    /// Positions in the set, ascending.
    pub fn iter(&self) -> impl Iterator<Item = u32> + '_ {
        (0..self.total).filter(|&position| self.contains(position))
    }

    /// Positions of the step that are not in the set, ascending.
    pub fn missing(&self) -> impl Iterator<Item = u32> + '_ {
        (0..self.total).filter(|&position| !self.contains(position))
    }

    /// Encodes the set as a bitmap; position 0 is the lowest bit of the first byte.
    pub(crate) fn to_bytes(&self) -> Vec<u8> {
        let bytes = self.words.iter().flat_map(|word| word.to_le_bytes());
        bytes.take(self.total.div_ceil(8) as usize).collect()
    }

    /// Decodes a bitmap. `None` if its length does not match `total`, or a bit at or beyond
    /// `total` is set.
    pub(crate) fn from_bytes(total: u32, bytes: &[u8]) -> Option<Self> {
        if bytes.len() != total.div_ceil(8) as usize {
            return None;
        }
        let mut set = Self::new(total);
        for (position, &byte) in bytes.iter().enumerate() {
            set.words[position / 8] |= u64::from(byte) << (8 * (position % 8));
        }
        let excess_bits = (!total.is_multiple_of(WORD_BITS)).then(|| {
            set.words
                .last()
                .map_or(0, |word| word >> (total % WORD_BITS))
        });
        (excess_bits.unwrap_or(0) == 0).then_some(set)
    }
}

fn bit(position: u32) -> u64 {
    1 << (position % WORD_BITS)
}
