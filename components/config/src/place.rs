//! Positions in a text.

use std::fmt;

use derive::key;

/// Line and column in a text, both starting at 1.
#[key]
pub struct Place {
    /// Line number.
    pub line: u32,
    /// Column number, counted in characters rather than bytes.
    pub column: u32,
}

impl Place {
    /// The first character of a text.
    pub const START: Place = Place { line: 1, column: 1 };
}

impl fmt::Display for Place {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.line, self.column)
    }
}

/// Index of line starts, to look up the position of a byte offset without scanning the text from
/// its start.
pub(crate) struct LineIndex<'a> {
    text: &'a str,
    starts: Vec<usize>,
}

impl<'a> LineIndex<'a> {
    pub(crate) fn new(text: &'a str) -> Self {
        let breaks = text.match_indices('\n').map(|(offset, _)| offset + 1);
        Self {
            text,
            starts: std::iter::once(0).chain(breaks).collect(),
        }
    }

    pub(crate) fn place(&self, byte: usize) -> Place {
        let line = self.starts.partition_point(|&start| start <= byte).max(1);
        let start = self.starts.get(line - 1).copied().unwrap_or(0);
        let before = self.text.get(start..byte).unwrap_or("");
        Place {
            line: saturating_u32(line),
            column: saturating_u32(before.chars().count() + 1),
        }
    }
}

fn saturating_u32(number: usize) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}
