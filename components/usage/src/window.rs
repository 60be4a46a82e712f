use derive::{value, wire_key};

/// Number of a window: the windows are numbered from the start of 1970 (UTC).
#[wire_key]
pub struct Window(pub u64);

impl Window {
    /// The following window.
    pub fn next(self) -> Window {
        Window(self.0 + 1)
    }
}

/// Length of the windows and deadlines of their reports, in milliseconds.
#[value]
#[derive(Copy)]
pub struct WindowSettings {
    /// Length of a window.
    pub length_ms: u64,
    /// Time from the end of a window until its report is due.
    pub due_ms: u64,
    /// Time from the end of a window until it is sealed.
    pub seal_after_ms: u64,
    /// Time from the end of a window until its report is abandoned.
    pub abandon_after_ms: u64,
}

/// How long an overdue report is still sent, in milliseconds: it missed its deadline, but keeps the
/// customers' bills correct.
const LATE_REPORT_MS: u64 = 60_000;

impl WindowSettings {
    /// Settings for windows of `length_ms` whose reports are due `due_ms` after their end. A window
    /// is sealed after half of that time: the first half is for requests to end and their counts to
    /// be written, the second half is for another front to take over reporting if necessary.
    pub fn new(length_ms: u64, due_ms: u64) -> Self {
        Self {
            length_ms: length_ms.max(1),
            due_ms,
            seal_after_ms: due_ms / 2,
            abandon_after_ms: due_ms + LATE_REPORT_MS,
        }
    }

    /// The window that contains a point in time (UTC).
    pub fn window_at(&self, utc_ms: u64) -> Window {
        Window(utc_ms / self.length_ms)
    }

    /// End of a window, in milliseconds since 1970 (UTC).
    pub fn end_ms(&self, window: Window) -> u64 {
        (window.0 + 1) * self.length_ms
    }

    /// Whether the time to seal a window has come.
    pub fn is_seal_due(&self, window: Window, utc_ms: u64) -> bool {
        utc_ms >= self.end_ms(window) + self.seal_after_ms
    }

    /// Whether the report of a window is abandoned, so that it is no longer sent.
    pub fn is_abandoned(&self, window: Window, utc_ms: u64) -> bool {
        utc_ms >= self.end_ms(window) + self.abandon_after_ms
    }
}
