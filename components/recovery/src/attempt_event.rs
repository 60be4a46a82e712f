//! What goes into the caller's state machine of a call, and what comes out.

use derive::value;
use protocol::Frame;

use crate::CallEvent;

/// What happens to a call.
#[value]
pub enum AttemptEvent {
    /// A connection is there; `life` is the boot number in the callee's greeting.
    Connected {
        /// Which life of the callee answered.
        life: u64,
    },
    /// No connection could be made.
    ConnectFailed,
    /// The `Open` was handed to the network whole.
    Written,
    /// The connection is closed, and not the whole `Open` had been handed to the network.
    WriteFailed,
    /// The connection is closed or has missed its deadline and was closed.
    LinkLost,
    /// A frame of the current connection.
    Frame(Frame),
    /// The time of [`crate::Attempt::wake_at_ms`] has come.
    Timer {
        /// The `Open` was taken back before its first byte left.
        withdrawn: bool,
    },
    /// Nobody wants the answer any more.
    Cancel {
        /// The `Open` was taken back before its first byte left.
        withdrawn: bool,
    },
}

/// What is to be done for a call.
#[value]
pub enum AttemptAction {
    /// Write the `Open` frame, with this time left.
    SendOpen {
        /// Time left until the deadline, in milliseconds.
        deadline_left_ms: u32,
    },
    /// Write this frame.
    Send(Frame),
    /// Tell the caller.
    Deliver(CallEvent),
}
