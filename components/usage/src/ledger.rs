use std::collections::{BTreeMap, HashMap};

use derive::value;

use crate::{UsageRecord, Window, WindowCounts, WindowSettings};

/// Effect of a record on the ledger.
#[value]
pub enum Change {
    /// No effect: the record repeats an earlier one.
    Nothing,
    /// Counts were added.
    Counted,
    /// Counts arrived after the seal of their window and are missing from its report; holds the
    /// number of these requests.
    Late(u64),
    /// A window was sealed.
    Sealed(Window),
    /// The receiver accepted the report of a window.
    Reported(Window),
}

/// The report of a sealed window.
#[value]
pub struct Report {
    /// Window that the report covers.
    pub window: Window,
    /// Requests by customer; customers without requests are omitted.
    pub counts: BTreeMap<String, u64>,
}

/// State of a window, as derived from the log.
#[derive(Clone, Copy, Debug)]
pub struct WindowSummary<'a> {
    /// Window to which the other fields refer.
    pub window: Window,
    /// Requests by customer in the report; before the seal, the counts so far.
    pub counts: &'a BTreeMap<String, u64>,
    /// Whether the window is sealed.
    pub sealed: bool,
    /// Whether the receiver accepted the report.
    pub reported: bool,
}

#[derive(Debug, Default)]
struct WindowState {
    counts: BTreeMap<String, u64>,
    sealed: bool,
    reported: bool,
}

#[derive(Debug)]
struct WriterState {
    newest_batch: u32,
    newest_window: Window,
}

/// Usage of all customers, as derived from the records of the usage topic.
#[derive(Debug, Default)]
pub struct UsageLedger {
    windows: BTreeMap<Window, WindowState>,
    writers: HashMap<u64, WriterState>,
    /// First window in which the system is known to have run; `None` before any is known.
    first_window: Option<Window>,
    /// First window after a gap in the log; records of earlier windows may have been missed.
    complete_from: Option<Window>,
}

impl UsageLedger {
    /// Applies a record. Records must be applied in the order of the log.
    pub fn apply(&mut self, record: UsageRecord) -> Change {
        match record {
            UsageRecord::Counted {
                writer,
                number,
                windows,
            } => self.count(writer, number, windows),
            UsageRecord::Sealed { window } => self.seal(window),
            UsageRecord::Reported { window } => {
                self.note_window(window);
                self.windows.entry(window).or_default().reported = true;
                Change::Reported(window)
            }
        }
    }

    fn count(&mut self, writer: u64, number: u32, windows: Vec<WindowCounts>) -> Change {
        let newest = windows.iter().map(|counts| counts.window).max();
        let Some(newest_window) = newest else {
            return Change::Nothing;
        };
        let state = self.writers.entry(writer).or_insert(WriterState {
            newest_batch: 0,
            newest_window,
        });
        if number <= state.newest_batch {
            return Change::Nothing;
        }
        state.newest_batch = number;
        state.newest_window = state.newest_window.max(newest_window);
        let mut late = 0;
        for counts in windows {
            late += self.add(counts);
        }
        match late {
            0 => Change::Counted,
            late => Change::Late(late),
        }
    }

    /// Adds the counts of a window; returns the number of requests that arrived after its seal.
    fn add(&mut self, counts: WindowCounts) -> u64 {
        self.note_window(counts.window);
        let state = self.windows.entry(counts.window).or_default();
        let requests = counts.customers.iter().map(|count| count.requests);
        if state.sealed {
            return requests.map(u64::from).sum();
        }
        for count in counts.customers {
            *state.counts.entry(count.customer).or_insert(0) += u64::from(count.requests);
        }
        0
    }

    fn seal(&mut self, window: Window) -> Change {
        self.note_window(window);
        let state = self.windows.entry(window).or_default();
        if std::mem::replace(&mut state.sealed, true) {
            return Change::Nothing;
        }
        Change::Sealed(window)
    }

    /// Notes that the system ran in a window. Windows before the first such window are not
    /// reported.
    pub fn note_window(&mut self, window: Window) {
        let first = self.first_window.get_or_insert(window);
        *first = (*first).min(window);
    }

    /// Notes a gap in the log: records that this process had not read are lost. Only windows from
    /// `from` on are complete.
    pub fn mark_gap(&mut self, from: Window) {
        self.complete_from = Some(from);
    }

    /// Complete windows that ended by `utc_ms` and have no accepted report, oldest first.
    fn unreported<'a>(
        &'a self,
        settings: &'a WindowSettings,
        utc_ms: u64,
    ) -> impl Iterator<Item = Window> + 'a {
        let first = self.first_window.unwrap_or(Window(u64::MAX));
        let from = first.max(self.complete_from.unwrap_or(first));
        let oldest_ms = utc_ms.saturating_sub(settings.abandon_after_ms);
        let from = from.max(settings.window_at(oldest_ms));
        let until = settings.window_at(utc_ms);
        (from.0..until.0).map(Window).filter(move |window| {
            let state = self.windows.get(window);
            state.is_none_or(|state| !state.reported) && !settings.is_abandoned(*window, utc_ms)
        })
    }

    fn is_sealed(&self, window: Window) -> bool {
        let state = self.windows.get(&window);
        state.is_some_and(|state| state.sealed)
    }

    /// Windows that are due to be sealed, oldest first.
    pub fn windows_to_seal(&self, settings: &WindowSettings, utc_ms: u64) -> Vec<Window> {
        self.unreported(settings, utc_ms)
            .filter(|window| !self.is_sealed(*window) && settings.is_seal_due(*window, utc_ms))
            .collect()
    }

    /// The oldest report that is due, except for windows for which `is_sent` returns true.
    pub fn report_to_send(
        &self,
        settings: &WindowSettings,
        utc_ms: u64,
        is_sent: impl Fn(Window) -> bool,
    ) -> Option<Report> {
        let window = self
            .unreported(settings, utc_ms)
            .find(|window| self.is_sealed(*window) && !is_sent(*window))?;
        Some(Report {
            window,
            counts: self.windows.get(&window)?.counts.clone(),
        })
    }

    /// All windows with records, oldest first.
    pub fn windows(&self) -> impl Iterator<Item = WindowSummary<'_>> {
        let known = self.windows.iter();
        known.map(|(window, state)| WindowSummary {
            window: *window,
            counts: &state.counts,
            sealed: state.sealed,
            reported: state.reported,
        })
    }

    /// Removes windows whose reports are abandoned, and fronts that have counted nothing since.
    pub fn remove_expired(&mut self, settings: &WindowSettings, utc_ms: u64) {
        self.windows
            .retain(|window, _| !settings.is_abandoned(*window, utc_ms));
        self.writers
            .retain(|_, writer| !settings.is_abandoned(writer.newest_window, utc_ms));
    }
}
