//! Input events and output actions of [`crate::Attempt`].

use derive::value;
use protocol::Frame;

use crate::CallEvent;

/// Event that the driver passes to [`crate::Attempt::handle`].
#[value]
pub enum AttemptEvent {
    /// A connection to the callee was established.
    Connected {
        /// Boot number in the callee's greeting; changes when the callee restarts.
        life: u64,
    },
    /// The attempt to connect failed.
    ConnectFailed,
    /// The whole `Open` was written to the socket.
    Written,
    /// The connection was closed before the whole `Open` was written to the socket.
    WriteFailed,
    /// The connection was closed, by the peer or because the peer did not answer a ping in
    /// time.
    LinkLost,
    /// A frame was received on the current connection.
    Frame(Frame),
    /// The time given by [`crate::Attempt::wake_at_ms`] was reached.
    Timer {
        /// The `Open` was removed from the write queue before its first byte was written.
        withdrawn: bool,
    },
    /// The caller no longer needs the response.
    Cancel {
        /// The `Open` was removed from the write queue before its first byte was written.
        withdrawn: bool,
    },
}

/// Action that the driver must carry out for a call.
#[value]
pub enum AttemptAction {
    /// Write the `Open` frame.
    SendOpen {
        /// Value of the frame's `deadline_left_ms`: time left until the call's deadline.
        deadline_left_ms: u32,
    },
    /// Write this frame on the current connection.
    Send(Frame),
    /// Pass the event to the caller.
    Deliver(CallEvent),
}
