use derive::{value, wire_key};

/// Number of a window: how many windows lie between the start of 1970 and its own.
#[wire_key]
pub struct Window(pub u64);

impl Window {
    /// The window behind this one.
    pub fn next(self) -> Window {
        Window(self.0 + 1)
    }
}

/// Times of windows and their reports, in milliseconds.
#[value]
#[derive(Copy)]
pub struct WindowSettings {
    /// Length of a window.
    pub length_ms: u64,
    /// From the end of a window until its report is due.
    pub due_ms: u64,
    /// From the end of a window until it is sealed.
    pub seal_after_ms: u64,
    /// From the end of a window until its report is given up.
    pub abandon_after_ms: u64,
}

/// How long a late report is still sent, in milliseconds: it is worth nothing in time, and
/// the customers' bills are right.
const LATE_MS: u64 = 60_000;

impl WindowSettings {
    /// Windows of a length with reports that are due within a time. A window is sealed when half
    /// of that is over: before it lies the time for requests to end and for their counts to be
    /// written, behind it the time for another front to take over the duty.
    pub fn new(length_ms: u64, due_ms: u64) -> Self {
        Self {
            length_ms: length_ms.max(1),
            due_ms,
            seal_after_ms: due_ms / 2,
            abandon_after_ms: due_ms + LATE_MS,
        }
    }

    /// The window in which a point of true time lies.
    pub fn window_at(&self, true_ms: u64) -> Window {
        Window(true_ms / self.length_ms)
    }

    /// End of a window, in milliseconds of true time.
    pub fn end_ms(&self, window: Window) -> u64 {
        (window.0 + 1) * self.length_ms
    }

    /// Whether a window is to be sealed.
    pub fn is_seal_due(&self, window: Window, true_ms: u64) -> bool {
        true_ms >= self.end_ms(window) + self.seal_after_ms
    }

    /// Whether the report of a window is given up.
    pub fn is_abandoned(&self, window: Window, true_ms: u64) -> bool {
        true_ms >= self.end_ms(window) + self.abandon_after_ms
    }
}
