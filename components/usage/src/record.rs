use derive::wire;

use crate::Window;

/// Number of requests of one customer that started in one window.
#[wire]
pub struct CustomerCount {
    /// Name of the customer.
    pub customer: String,
    /// Number of requests.
    pub requests: u32,
}

/// Numbers of requests that started in one window.
#[wire]
pub struct WindowCounts {
    /// Window in which the requests started.
    pub window: Window,
    /// One count per customer.
    pub customers: Vec<CustomerCount>,
}

/// A record of the usage topic.
#[wire]
pub enum UsageRecord {
    /// Requests that started at replicas; the counts add to those of earlier batches.
    Counted {
        /// Identifies the incarnation of the front that counted the requests.
        writer: u64,
        /// Number of the batch within the incarnation, from 1. A batch that arrives twice counts
        /// once.
        number: u32,
        /// Counts by window.
        windows: Vec<WindowCounts>,
    },
    /// Seals a window: the counts before this record form its report. The first seal is valid.
    Sealed {
        /// Window that is sealed.
        window: Window,
    },
    /// The receiver accepted the report of a window.
    Reported {
        /// Window of the report.
        window: Window,
    },
}
