//! Output actions of [`crate::CallTable`].

use derive::value;
use protocol::{Frame, Open};
use types::CallId;

/// Action that the driver of a [`crate::CallTable`] must carry out.
#[value]
pub enum TableAction {
    /// Write a frame to a connection.
    Send {
        /// Connection of the call's caller.
        connection: u64,
        /// Frame to write.
        frame: Frame,
    },
    /// Close a connection, because the same caller opened a newer one.
    Close {
        /// The older connection.
        connection: u64,
    },
    /// Pass a new call to its handler.
    Run {
        /// Connection on which the call was received.
        connection: u64,
        /// The call with its request.
        open: Box<Open>,
    },
    /// Enlarge the call's send window, because the caller acknowledged parts.
    Credit {
        /// Call whose window grows.
        id: CallId,
        /// Bytes by which the window grows, as counted by [`crate::part_cost_bytes`].
        bytes: usize,
    },
    /// Stop limiting the call by its send window, because the call continues without its
    /// caller and nobody acknowledges parts.
    Unblock {
        /// Call that continues.
        id: CallId,
    },
    /// Notify the handler that the response is no longer needed.
    Cancel {
        /// Call to cancel.
        id: CallId,
    },
    /// Free the resources of a call that was removed from the table.
    Drop {
        /// The removed call.
        id: CallId,
    },
}
