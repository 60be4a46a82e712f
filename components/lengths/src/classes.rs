//! Classes of hints and of lengths.

/// Number of classes of hints: none, and half octaves from 2^4 to 2^20 tokens, ten times the
/// longest texts.
pub(crate) const HINT_CLASSES: usize = 33;
/// Class of texts without a hint.
pub(crate) const NO_HINT: usize = 0;
/// Logarithm to base 2 of the shortest hint with a class of its own.
const HINT_MIN_LOG2: f64 = 4.0;
const HALF_OCTAVES: f64 = 2.0;
const QUARTER_OCTAVES: f64 = 4.0;
/// Number of quarter octaves up to 2^14 events, the longest length with a class of its own. More
/// classes of lengths or hints would make a snapshot longer than 4 KB.
const LENGTH_QUARTER_OCTAVES: usize = 56;

/// Class of a hint; 0 means that there is none.
pub(crate) fn hint_class(hint_tokens: u32) -> usize {
    if hint_tokens == 0 {
        return NO_HINT;
    }
    let half_octaves = (f64::from(hint_tokens).log2() - HINT_MIN_LOG2) * HALF_OCTAVES;
    1 + (half_octaves.max(0.0) as usize).min(HINT_CLASSES - 2)
}

/// Geometric mean of the hints of a class, in tokens; `None` without a hint.
pub(crate) fn hint_class_tokens(class: usize) -> Option<f64> {
    let half_octaves = class.checked_sub(1)? as f64 + 0.5;
    Some((HINT_MIN_LOG2 + half_octaves / HALF_OCTAVES).exp2())
}

/// Classes of lengths: quarter octaves of events, but at least one length each. The last class has
/// no end.
#[derive(Clone, Debug)]
pub(crate) struct LengthClasses {
    /// First length of each class.
    starts: Vec<u64>,
    /// Width of each class in quarter octaves.
    widths: Vec<f64>,
}

impl LengthClasses {
    pub(crate) fn new() -> Self {
        let mut starts: Vec<u64> = (0..=LENGTH_QUARTER_OCTAVES)
            .map(|number| (number as f64 / QUARTER_OCTAVES).exp2().round() as u64)
            .collect();
        starts.dedup();
        let mut widths: Vec<f64> = starts
            .windows(2)
            .map(|pair| (pair[1] as f64 / pair[0] as f64).log2() * QUARTER_OCTAVES)
            .collect();
        widths.push(1.0);
        Self { starts, widths }
    }

    pub(crate) fn count(&self) -> usize {
        self.starts.len()
    }

    pub(crate) fn of(&self, events: u64) -> usize {
        self.starts
            .partition_point(|start| *start <= events.max(1))
            .saturating_sub(1)
    }

    pub(crate) fn start(&self, class: usize) -> u64 {
        self.starts[class]
    }

    /// First length behind a class. The last class counts as a quarter octave.
    pub(crate) fn end(&self, class: usize) -> u64 {
        match self.starts.get(class + 1) {
            Some(start) => *start,
            None => {
                let start = self.starts[class];
                start + start / 5
            }
        }
    }

    /// Width of a class in quarter octaves.
    pub(crate) fn width(&self, class: usize) -> f64 {
        self.widths[class]
    }

    /// Geometric mean of the lengths of a class. A text of n events has n - 1 to n events' worth of
    /// tokens.
    pub(crate) fn middle(&self, class: usize) -> f64 {
        let (first, last) = (self.start(class) as f64, self.end(class) as f64 - 1.0);
        (first * last).sqrt() - 0.5
    }
}
