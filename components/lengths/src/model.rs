//! The lengths of the texts of one model.

use derive::value;

use crate::classes::{HINT_CLASSES, LengthClasses, hint_class};
use crate::counts::Row;
use crate::hazards::hazards;
use crate::longest::Longest;
use crate::prior::Prior;
use crate::snapshot::LengthSnapshot;
use crate::table::LengthTable;

/// Inverse part of the recorded texts after which the tables are computed again. Computing them
/// takes as long as some hundred estimates.
const REFRESH_INVERSE: u64 = 32;
/// Largest number of texts that the tables may lack.
const REFRESH_TEXTS_MAX: u64 = 64;

/// Number of texts that are remembered; beyond it all counts are halved, so that the model follows a
/// change of the texts and its snapshot stays small.
const TEXTS_MAX: u64 = 16_000;

/// Events that a text is expected to take beyond those that it has; at least 1.
#[value]
#[derive(Copy)]
pub struct EventsLeft {
    /// Expectation.
    pub mean: u64,
    /// 90th percentile.
    pub high: u64,
}

/// Distribution of the lengths of one model's texts by their hint.
#[derive(Clone, Debug)]
pub struct LengthModel {
    tokens_per_event: u32,
    classes: LengthClasses,
    prior: Prior,
    rows: Vec<Row>,
    longest: Longest,
    /// One for each class of hints.
    tables: Vec<LengthTable>,
    /// Texts in `rows`.
    recorded: u64,
    /// Texts that were recorded since the tables were computed.
    pending: u64,
}

impl LengthModel {
    /// Creates the model of texts whose events have `tokens_per_event` tokens each.
    pub fn new(tokens_per_event: u32) -> Self {
        let mut model = Self::empty(tokens_per_event);
        model.refresh();
        model
    }

    /// Records the length of a text that came to its end.
    pub fn record_complete(&mut self, hint_tokens: u32, events: u64) {
        self.rows[hint_class(hint_tokens)].add_ended(self.classes.of(events));
        self.longest.add_complete(events);
        self.count_recorded();
    }

    /// Records a text that was dropped before its end.
    pub fn record_censored(&mut self, hint_tokens: u32, events: u64) {
        let reached = events.saturating_add(1);
        self.rows[hint_class(hint_tokens)].add_censored(self.classes.of(reached));
        self.longest.add_dropped(reached);
        self.count_recorded();
    }

    /// Estimates how many events a text takes beyond those that it has. A hint of 0 means none.
    pub fn events_left(&self, hint_tokens: u32, generated_events: u64) -> EventsLeft {
        let table = &self.tables[hint_class(hint_tokens)];
        let length = table.expect(&self.classes, generated_events.saturating_add(1));
        let left = |length: f64| {
            (length.round() as u64)
                .saturating_sub(generated_events)
                .max(1)
        };
        let mean = left(length.mean);
        EventsLeft {
            mean,
            high: left(length.high).max(mean),
        }
    }

    /// What another process needs to continue, encoded in 4 KB at most.
    pub fn snapshot(&self) -> LengthSnapshot {
        LengthSnapshot::of(self.tokens_per_event, &self.longest, &self.rows)
    }

    /// Continues from a snapshot. Parts of it that do not fit the model are ignored.
    pub fn restore(snapshot: &LengthSnapshot) -> Self {
        let mut model = Self::empty(snapshot.tokens_per_event);
        model.longest = Longest {
            events: snapshot.longest_events,
            near: snapshot.near_longest,
            dropped: snapshot.dropped_near_longest,
        };
        for saved in &snapshot.rows {
            if let Some(row) = model.rows.get_mut(usize::from(saved.hint_class)) {
                saved.restore(row);
            }
        }
        model.recorded = model.rows.iter().map(Row::texts).sum::<f64>() as u64;
        model.refresh();
        model
    }

    fn empty(tokens_per_event: u32) -> Self {
        let tokens_per_event = tokens_per_event.max(1);
        let classes = LengthClasses::new();
        let prior = Prior::new(&classes, tokens_per_event);
        let rows = vec![Row::new(classes.count()); HINT_CLASSES];
        Self {
            tokens_per_event,
            classes,
            prior,
            rows,
            longest: Longest::default(),
            tables: Vec::new(),
            recorded: 0,
            pending: 0,
        }
    }

    fn count_recorded(&mut self) {
        self.recorded += 1;
        self.pending += 1;
        if self.recorded > TEXTS_MAX {
            self.recorded /= 2;
            self.rows.iter_mut().for_each(Row::halve);
        }
        if self.pending >= (self.recorded / REFRESH_INVERSE).clamp(1, REFRESH_TEXTS_MAX) {
            self.refresh();
        }
    }

    fn refresh(&mut self) {
        self.pending = 0;
        let limit = self.longest.limit();
        self.tables = hazards(&self.classes, &self.prior, &self.rows)
            .into_iter()
            .map(|hazards| LengthTable::new(&self.classes, hazards, limit))
            .collect();
    }
}
