use derive::wire;

use crate::Window;

/// Requests of one customer that began in one window.
#[wire]
pub struct CustomerCount {
    /// The customer.
    pub customer: String,
    /// Requests.
    pub requests: u32,
}

/// Requests that began in one window.
#[wire]
pub struct WindowCounts {
    /// The window.
    pub window: Window,
    /// Requests by customer, each once.
    pub customers: Vec<CustomerCount>,
}

/// What a front writes into the log about usage.
#[wire]
pub enum UsageRecord {
    /// Requests that began at replicas; adds to what was counted before.
    Counted {
        /// The life of the front that counted them.
        writer: u64,
        /// Number of the batch in that life, from 1 on. One that lands twice counts once.
        number: u32,
        /// The counts.
        windows: Vec<WindowCounts>,
    },
    /// What stands before this record is the report of the window; the first seal holds.
    Sealed {
        /// The window.
        window: Window,
    },
    /// The report of a window was taken.
    Reported {
        /// The window.
        window: Window,
    },
}
