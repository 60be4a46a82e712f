//! Decides from connection attempts whether the process of a peer is dead.
//!
//! A closed connection proves nothing: the peer may have closed it for idleness, or the link may
//! have failed. A refused connection proves that no process listens at the address, and another
//! start in the peer's hello proves that the process was replaced. Silence proves nothing either,
//! since a frozen peer or one behind a failed link may still act; the time to live of its
//! membership decides then.

use derive::value;

/// Outcome of an attempt to connect to the peer.
#[value]
#[derive(Copy)]
pub enum ConnectOutcome {
    /// The peer accepted and sent a hello with this start.
    Hello {
        /// Start of the process that answered, in milliseconds of UTC since the Unix epoch.
        started_unix_ms: u64,
    },
    /// The peer's host refused the connection.
    Refused,
    /// There was no answer in time, or the attempt failed in another way.
    NoAnswer,
}

/// What was observed of the peer.
#[value]
#[derive(Copy)]
pub enum WatchEvent {
    /// The connection to the peer was closed or reset.
    Closed,
    /// An attempt to connect ended.
    Connected(ConnectOutcome),
}

/// What to do next.
#[value]
#[derive(Copy)]
pub enum WatchAction {
    /// Keep the connection open.
    Watch,
    /// Connect now.
    Connect,
    /// Connect after this pause, in milliseconds.
    ConnectAfter(u64),
    /// The watched process is dead: its membership is to be ended.
    Dead,
}

/// Pause between attempts to connect to a silent peer, in milliseconds.
const RETRY_MS: u64 = 500;

/// State of the watch of one life of a peer.
#[derive(Debug)]
pub struct OwnerWatch {
    /// Start of the watched process; `None` until its first hello.
    started_unix_ms: Option<u64>,
}

impl OwnerWatch {
    /// Watches the process with this start. Without a start, the first process that answers is
    /// watched; a refused connection then proves nothing, as the address may be outdated.
    pub fn new(started_unix_ms: Option<u64>) -> Self {
        Self { started_unix_ms }
    }

    /// Decides what follows from an observation.
    pub fn observe(&mut self, event: WatchEvent) -> WatchAction {
        match (event, self.started_unix_ms) {
            (WatchEvent::Closed, _) => WatchAction::Connect,
            (WatchEvent::Connected(ConnectOutcome::Hello { started_unix_ms }), None) => {
                self.started_unix_ms = Some(started_unix_ms);
                WatchAction::Watch
            }
            (WatchEvent::Connected(ConnectOutcome::Hello { started_unix_ms }), Some(known)) => {
                match started_unix_ms == known {
                    true => WatchAction::Watch,
                    false => WatchAction::Dead,
                }
            }
            (WatchEvent::Connected(ConnectOutcome::Refused), Some(_)) => WatchAction::Dead,
            (WatchEvent::Connected(ConnectOutcome::Refused | ConnectOutcome::NoAnswer), _) => {
                WatchAction::ConnectAfter(RETRY_MS)
            }
        }
    }
}
