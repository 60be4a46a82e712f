//! Places in a text.

use std::fmt;

use derive::key;

/// Line and column in a text, both from 1; the column counts characters.
#[key]
pub struct Place {
    /// The line.
    pub line: u32,
    /// The column, in characters.
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

/// Finds the place of a byte offset without counting lines from the start each time.
pub(crate) struct LineIndex<'a> {
    text: &'a str,
    starts: Vec<usize>,
}

impl<'a> LineIndex<'a> {
    pub(crate) fn new(text: &'a str) -> Self {
        let breaks = text.match_indices('\n').map(|(at, _)| at + 1);
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
