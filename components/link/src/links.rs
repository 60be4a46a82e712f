//! Caller side: one connection to each peer, shared by all calls to it.

use std::net::SocketAddr;

use protocol::Open;
use types::CallId;

use crate::{Call, LinkSettings, Traffic};

/// Connections of this process to its peers. Cheap to clone.
#[derive(Clone, Debug)]
pub struct Links {}

impl Links {
    /// Connections are made when the first call to a peer needs one.
    pub fn new(settings: LinkSettings) -> Links {
        let _ = settings;
        Links {}
    }

    /// Starts a call; needs a running tokio runtime. The identity in `open` is used as it
    /// is, so take it from [`Links::next_id`].
    pub fn call(&self, to: SocketAddr, open: Open) -> Call {
        let _ = (to, open);
        unimplemented!()
    }

    /// A new identity for a call of this process.
    pub fn next_id(&self) -> CallId {
        unimplemented!()
    }

    /// Bytes that these links carried so far.
    pub fn traffic(&self) -> Traffic {
        Traffic::default()
    }
}
