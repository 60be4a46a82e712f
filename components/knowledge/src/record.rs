//! Records of the index that tell where the newest knowledge of each shard is.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use derive::{value, wire};
use steps::DataLocation;

/// A record of the index topic: the owner of a shard has written its knowledge.
#[wire]
pub struct ShardRecord {
    /// Pool of replicas.
    pub pool: String,
    /// Number of the shard in its pool.
    pub shard: u16,
    /// Node of the owner.
    pub node: String,
    /// Address at which the owner relays calls to the store; `None` if it relays none.
    pub peer: Option<SocketAddr>,
    /// Location of the [`crate::ShardKnowledge`].
    pub at: DataLocation,
    /// When the owner wrote the record, by its clock, in milliseconds of UTC since the Unix epoch. Only
    /// shown to operators: fronts count ages from when they read a record.
    pub written_unix_ms: u64,
}

/// The newest record of a shard.
#[value]
pub struct NewestRecord {
    /// The record.
    pub record: ShardRecord,
    /// When this process read it.
    pub read_ms: u64,
}

/// The newest record of each shard, as the index topic defines them.
#[derive(Debug, Default)]
pub struct ShardRecords {
    /// By pool and number of the shard.
    newest: BTreeMap<String, BTreeMap<u16, NewestRecord>>,
}

impl ShardRecords {
    /// Applies the next record of the index. The last record of a shard counts, whoever wrote it: a
    /// stale owner's record only affects speed, and the owner writes again within a second.
    pub fn apply(&mut self, record: ShardRecord, now_ms: u64) {
        let shards = self.newest.entry(record.pool.clone()).or_default();
        let newest = NewestRecord {
            record,
            read_ms: now_ms,
        };
        shards.insert(newest.record.shard, newest);
    }

    /// The newest record of a shard.
    pub fn newest(&self, pool: &str, shard: u16) -> Option<&NewestRecord> {
        self.newest.get(pool)?.get(&shard)
    }

    /// The newest records of all shards, by pool and number.
    pub fn iter(&self) -> impl Iterator<Item = &NewestRecord> {
        self.newest.values().flat_map(BTreeMap::values)
    }

    /// Forgets all records. Called when records of the index were lost: the locations may have been
    /// assigned again.
    pub fn clear(&mut self) {
        self.newest.clear();
    }
}
