//! What a callee has to do for its calls.

use derive::value;
use protocol::{Frame, Open};
use types::CallId;

/// What is to be done for the calls.
#[value]
pub enum TableAction {
    /// Write the frame on this connection.
    Send {
        /// The connection.
        connection: u64,
        /// The frame.
        frame: Frame,
    },
    /// Close the connection; another one of the same caller took its place.
    Close {
        /// The connection.
        connection: u64,
    },
    /// Hand the call to its handler.
    Run {
        /// The connection that it came on.
        connection: u64,
        /// The call.
        open: Box<Open>,
    },
    /// The caller has taken parts: as many bytes more may be sent.
    Credit {
        /// The call.
        id: CallId,
        /// Bytes, counted by [`crate::part_cost_bytes`].
        bytes: usize,
    },
    /// The caller stays away and the call runs on: it must not wait for the window.
    Unblock {
        /// The call.
        id: CallId,
    },
    /// Nobody wants the answer: tell the handler.
    Cancel {
        /// The call.
        id: CallId,
    },
    /// The call is dropped.
    Drop {
        /// The call.
        id: CallId,
    },
}
