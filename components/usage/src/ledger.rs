use std::collections::{BTreeMap, HashMap};

use derive::value;

use crate::{UsageRecord, Window, WindowCounts, WindowSettings};

/// What a record changed.
#[value]
pub enum Change {
    /// Nothing: a repetition.
    Nothing,
    /// Counts were added.
    Counted,
    /// Counts came behind the seal of their window and are in no report: so many requests.
    Late(u64),
    /// A window was sealed.
    Sealed(Window),
    /// A report was taken.
    Reported(Window),
}

/// The report of a sealed window.
#[value]
pub struct Report {
    /// The window.
    pub window: Window,
    /// Requests by customer; customers without any don't stand here.
    pub counts: BTreeMap<String, u64>,
}

/// What is known of a window.
#[derive(Clone, Copy, Debug)]
pub struct WindowSummary<'a> {
    /// The window.
    pub window: Window,
    /// Requests by customer that its report has, or would have now.
    pub counts: &'a BTreeMap<String, u64>,
    /// Whether it is sealed.
    pub sealed: bool,
    /// Whether its report was taken.
    pub reported: bool,
}

#[derive(Debug, Default)]
struct State {
    counts: BTreeMap<String, u64>,
    sealed: bool,
    reported: bool,
}

#[derive(Debug)]
struct Writer {
    newest_batch: u32,
    newest_window: Window,
}

/// Usage as the log tells it.
#[derive(Debug, Default)]
pub struct UsageLedger {
    windows: BTreeMap<Window, State>,
    writers: HashMap<u64, Writer>,
    /// The first window that this process knows to have been; none before it knows one.
    first: Option<Window>,
    /// Records of earlier windows may have been missed.
    whole_from: Option<Window>,
}

impl UsageLedger {
    /// Takes a record in the log's order.
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
        let known = self.writers.entry(writer).or_insert(Writer {
            newest_batch: 0,
            newest_window,
        });
        if number <= known.newest_batch {
            return Change::Nothing;
        }
        known.newest_batch = number;
        known.newest_window = known.newest_window.max(newest_window);
        let mut late = 0;
        for counts in windows {
            late += self.add(counts);
        }
        match late {
            0 => Change::Counted,
            late => Change::Late(late),
        }
    }

    /// Adds counts; gives how many requests came too late.
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

    /// A window in which the system ran; windows before the first one are nobody's to report.
    pub fn note_window(&mut self, window: Window) {
        let first = self.first.get_or_insert(window);
        *first = (*first).min(window);
    }

    /// Records before those that come next are gone: only windows from `from` on are known
    /// whole.
    pub fn mark_gap(&mut self, from: Window) {
        self.whole_from = Some(from);
    }

    /// Windows of true time before `true_ms` whose reports were not taken, oldest first.
    fn open<'a>(
        &'a self,
        settings: &'a WindowSettings,
        true_ms: u64,
    ) -> impl Iterator<Item = Window> + 'a {
        let first = self.first.unwrap_or(Window(u64::MAX));
        let from = first.max(self.whole_from.unwrap_or(first));
        let oldest_ms = true_ms.saturating_sub(settings.abandon_after_ms);
        let from = from.max(settings.window_at(oldest_ms));
        let until = settings.window_at(true_ms);
        (from.0..until.0).map(Window).filter(move |window| {
            let state = self.windows.get(window);
            state.is_none_or(|state| !state.reported) && !settings.is_abandoned(*window, true_ms)
        })
    }

    fn is_sealed(&self, window: Window) -> bool {
        let state = self.windows.get(&window);
        state.is_some_and(|state| state.sealed)
    }

    /// Windows to seal now, oldest first.
    pub fn windows_to_seal(&self, settings: &WindowSettings, true_ms: u64) -> Vec<Window> {
        self.open(settings, true_ms)
            .filter(|window| !self.is_sealed(*window) && settings.is_seal_due(*window, true_ms))
            .collect()
    }

    /// The oldest report to send now, of those that were not sent from here.
    pub fn report_to_send(
        &self,
        settings: &WindowSettings,
        true_ms: u64,
        sent: impl Fn(Window) -> bool,
    ) -> Option<Report> {
        let window = self
            .open(settings, true_ms)
            .find(|window| self.is_sealed(*window) && !sent(*window))?;
        Some(Report {
            window,
            counts: self.windows.get(&window)?.counts.clone(),
        })
    }

    /// Windows that are known, oldest first.
    pub fn windows(&self) -> impl Iterator<Item = WindowSummary<'_>> {
        let known = self.windows.iter();
        known.map(|(window, state)| WindowSummary {
            window: *window,
            counts: &state.counts,
            sealed: state.sealed,
            reported: state.reported,
        })
    }

    /// Forgets windows whose reports are given up, and fronts that counted nothing since.
    pub fn remove_expired(&mut self, settings: &WindowSettings, true_ms: u64) {
        self.windows
            .retain(|window, _| !settings.is_abandoned(*window, true_ms));
        self.writers
            .retain(|_, writer| !settings.is_abandoned(writer.newest_window, true_ms));
    }
}
