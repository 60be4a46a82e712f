//! A model of lengths as it is kept for another process.

use derive::wire;

use crate::counts::Row;
use crate::longest::Longest;

/// What is known of the lengths of a model's texts.
#[wire]
pub struct LengthSnapshot {
    /// Tokens of an event.
    pub tokens_per_event: u32,
    /// Length of the longest text, in events.
    pub longest_events: u64,
    /// Number of complete texts about as long as that.
    pub near_longest: u32,
    /// Number of texts that were dropped at about that length.
    pub dropped_near_longest: u32,
    /// Texts by class of hints, without empty classes.
    pub rows: Vec<RowSnapshot>,
}

/// Texts of one class of hints.
#[wire]
pub struct RowSnapshot {
    /// Number of the class.
    pub hint_class: u8,
    /// Texts that ended, by class of length.
    pub ended: Vec<u16>,
    /// Texts that were dropped, by class of length.
    pub censored: Vec<u16>,
}

impl LengthSnapshot {
    pub(crate) fn of(tokens_per_event: u32, longest: &Longest, rows: &[Row]) -> Self {
        let rows = (0..=u8::MAX)
            .zip(rows)
            .filter(|(_, row)| row.texts() > 0.0)
            .map(|(hint_class, row)| RowSnapshot {
                hint_class,
                ended: saved_counts(&row.ended),
                censored: saved_counts(&row.censored),
            })
            .collect();
        Self {
            tokens_per_event,
            longest_events: longest.events,
            near_longest: longest.near,
            dropped_near_longest: longest.dropped,
            rows,
        }
    }
}

impl RowSnapshot {
    pub(crate) fn restore(&self, row: &mut Row) {
        restore_counts(&self.ended, &mut row.ended);
        restore_counts(&self.censored, &mut row.censored);
    }
}

/// Whole counts up to the last one that isn't zero.
fn saved_counts(counts: &[f64]) -> Vec<u16> {
    let mut saved: Vec<u16> = counts.iter().map(|count| count.round() as u16).collect();
    let used = saved.iter().rposition(|count| *count > 0);
    saved.truncate(used.map_or(0, |last| last + 1));
    saved
}

fn restore_counts(saved: &[u16], counts: &mut [f64]) {
    for (count, saved) in counts.iter_mut().zip(saved) {
        *count = f64::from(*saved);
    }
}
