//! Decisions and messages of calls to the store that a front sends through another front.
//!
//! The store sometimes refuses one front while it serves the others. Such a front sends its calls
//! through a peer, which makes them on its own connection to the store. [`Route`] decides which way
//! calls take, [`RelayQuota`] limits what a front does for its peers, and [`RelayFrame`] is what the
//! two exchange. [`OwnerWatch`] decides from connection attempts whether the process of a peer is
//! dead. The package does no I/O and reads no clock: times and random numbers are arguments.

mod book;
mod error;
mod frame;
mod quota;
mod route;
mod watch;

pub use book::{
    FRONTS_TOPIC, FrontRecord, decode_record, encode_record, rank_peers, watches_owner,
};
pub use error::FrameError;
pub use frame::{
    CONTENT_BYTES_MAX, FRAME_BYTES_MAX, LENGTH_BYTES, RELAY_VERSION, RelayAnswer, RelayCall,
    RelayFrame, RelayHello, RelayMethod, RelayOutcome, decode_frame, encode_frame, fits_frame,
    frame_length,
};
pub use quota::{BYTES_PER_S_MAX, IN_FLIGHT_MAX, RelayQuota};
pub use route::{
    ANSWER_MS_MAX, DirectCall, DirectOutcome, PEER_ATTEMPTS_MAX, PEER_CALL_MS_MAX,
    PEER_WAIT_MS_MAX, PeerOutcome, Probe, Route, Way, WayCause, WayChange,
};
pub use watch::{ConnectOutcome, OwnerWatch, WatchAction, WatchEvent};
