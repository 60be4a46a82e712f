//! The address book: which fronts relay calls, and in which order a front uses them.

use std::net::SocketAddr;

use derive::wire;
use types::rendezvous;

use crate::FrameError;

/// Keyed topic of the address book; the key is the name of the front's node.
pub const FRONTS_TOPIC: &str = "keyed.fronts";
/// Version of [`FrontRecord`].
const RECORD_VERSION: u16 = 1;

/// Record of a front in the address book.
#[wire]
pub struct FrontRecord {
    /// Format of the record.
    pub version: u16,
    /// Address at which the front relays calls.
    pub address: SocketAddr,
    /// Failure domain of the front.
    pub domain: String,
    /// When the front's process started, in milliseconds of UTC since the Unix epoch.
    pub started_unix_ms: u64,
}

impl FrontRecord {
    /// A record in the current format.
    pub fn new(address: SocketAddr, domain: &str, started_unix_ms: u64) -> Self {
        Self {
            version: RECORD_VERSION,
            address,
            domain: domain.to_owned(),
            started_unix_ms,
        }
    }
}

/// Encodes a record of the address book.
pub fn encode_record(record: &FrontRecord) -> Result<Vec<u8>, FrameError> {
    postcard::to_stdvec(record).map_err(FrameError::Encode)
}

/// Decodes a record of the address book.
pub fn decode_record(value: &[u8]) -> Result<FrontRecord, FrameError> {
    let record: FrontRecord = postcard::from_bytes(value).map_err(FrameError::Decode)?;
    match record.version {
        RECORD_VERSION => Ok(record),
        version => Err(FrameError::Version(version)),
    }
}

/// Order in which the front `node` uses its peers: by rendezvous hashing, so that the calls of
/// several fronts spread over all peers, and alternately from the own failure domain and from the
/// others. A store that refuses a whole domain then does not seem to be down for all fronts. `own`
/// is the front's own address, which is left out.
pub fn rank_peers<'a>(
    node: &str,
    domain: &str,
    own: SocketAddr,
    records: impl Iterator<Item = &'a FrontRecord>,
) -> Vec<SocketAddr> {
    let (near, far): (Vec<_>, Vec<_>) = records
        .filter(|record| record.address != own)
        .partition(|record| record.domain == domain);
    let ranked = |records: Vec<&FrontRecord>| {
        let addresses = records.into_iter().map(|record| record.address);
        rendezvous::ranked(node.as_bytes(), addresses).into_iter()
    };
    let (mut near, mut far) = (ranked(near), ranked(far));
    let mut order = Vec::with_capacity(near.len() + far.len());
    while near.len() + far.len() > 0 {
        order.extend(near.next());
        order.extend(far.next());
    }
    order
}

/// Number of fronts that watch the process of a shard's owner.
const WATCHERS: usize = 2;

/// Whether the front at `own` watches the process of a shard's owner: it is one of the first
/// members of the runners' group by rendezvous hashing for the shard, the owner left out.
pub fn watches_owner(
    shard: &str,
    own: SocketAddr,
    owner: SocketAddr,
    members: impl Iterator<Item = SocketAddr>,
) -> bool {
    let others = members.filter(|member| *member != owner);
    let ranked = rendezvous::ranked(shard.as_bytes(), others);
    ranked.iter().take(WATCHERS).any(|member| *member == own)
}
