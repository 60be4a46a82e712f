//! Reads and writes of what the owner of a shard knows.
//!
//! The knowledge is a record of the data topic, and a record of the index tells where it is. Both
//! are hints that affect nothing but speed: a failed write is repeated with newer knowledge, and
//! without a readable record the next owner works from priors.

use std::time::Duration;

use bytes::Bytes;
use index::{DATA_TOPIC, LogRecord};
use knowledge::{
    KNOWLEDGE_BYTES_MAX, KnowledgeError, NewestRecord, ShardKnowledge, ShardRecord, decode, encode,
};
use platform::store::StoreError;
use quick_error::quick_error;
use steps::DataLocation;
use telemetry::Label;

use crate::clock::unix_ms;
use crate::state::Front;
use crate::writer::{APPEND_TIMEOUT_MS, WriteError, data_partition, write_index};

/// Timeout of one read, in milliseconds.
const READ_TIMEOUT_MS: u64 = 600;
/// Attempts to read the record. It is of little use once this front has observed the replicas.
const READ_ATTEMPTS_MAX: u32 = 3;
/// Pause between two attempts, in milliseconds.
const READ_PAUSE_MS: u64 = 100;
/// Added to the size of a read, in KiB: the store counts the length before each record too.
const READ_EXTRA_KB: u32 = 1;

quick_error! {
    /// Why the knowledge of a shard was not read or written.
    #[derive(Debug)]
    pub enum TransferError {
        /// No owner has written a record.
        NoRecord {
            display("no record")
        }
        /// The bytes are not the ones that the record describes, or the value can't be encoded.
        Knowledge(reason: KnowledgeError) {
            source(reason)
            from()
            display("{}", reason)
        }
        /// The record at the location has another length, for example because the store lost its
        /// history and has assigned the offset again.
        Length(bytes: usize, expected: u32) {
            display("the record has {} bytes instead of {}", bytes, expected)
        }
        /// The store did not return the bytes.
        Read(reason: StoreError) {
            source(reason)
            from()
            display("{}", reason)
        }
        /// The append failed.
        Write(reason: WriteError) {
            source(reason)
            from()
            display("{}", reason)
        }
    }
}

/// Appends the knowledge to the data topic and its location to the index. Returns whether both
/// succeeded.
pub async fn write(front: &Front, knowledge: ShardKnowledge) -> bool {
    let (pool, shard) = (knowledge.pool.clone(), knowledge.shard);
    match try_write(front, knowledge).await {
        Ok(bytes) => {
            log::debug!(event = "shard-knowledge-written", pool, shard, bytes; "");
            true
        }
        Err(error) => {
            log::warn!(event = "shard-knowledge-not-written", pool, shard, error:% = error; "");
            false
        }
    }
}

async fn try_write(front: &Front, knowledge: ShardKnowledge) -> Result<usize, TransferError> {
    let (pool, shard) = (knowledge.pool.clone(), knowledge.shard);
    let encoded = encode(knowledge)?;
    if !encoded.dropped.is_empty() {
        log::debug!(event = "shard-knowledge-cut", pool, shard, dropped:? = encoded.dropped; "");
    }
    let bytes = encoded.bytes.len();
    let partition = data_partition(front);
    let timeout = Duration::from_millis(APPEND_TIMEOUT_MS);
    let records = [Bytes::from(encoded.bytes)];
    let append = front
        .storage
        .append(DATA_TOPIC, partition, &records, timeout);
    let offset = append.await.map_err(WriteError::from)?;
    let record = LogRecord::Shard(ShardRecord {
        pool,
        shard,
        node: front.settings.node.clone(),
        peer: front.relay_address(),
        at: DataLocation {
            partition,
            offset,
            bytes: bytes as u32,
        },
        written_unix_ms: unix_ms(),
    });
    write_index(front, &[record]).await?;
    Ok(bytes)
}

/// Reads the knowledge that the newest record of a shard refers to. Logs why if there is none.
pub async fn read(
    front: &Front,
    pool: &str,
    shard: u16,
    newest: Option<NewestRecord>,
) -> Option<ShardKnowledge> {
    match try_read(front, newest).await {
        Ok(knowledge) => Some(knowledge),
        Err(error) => {
            let name = "front_shard_knowledge_unread_total";
            front.metrics.count(name, Label::default(), 1);
            log::info!(event = "shard-knowledge-not-read", pool, shard, why:% = error; "");
            None
        }
    }
}

async fn try_read(
    front: &Front,
    newest: Option<NewestRecord>,
) -> Result<ShardKnowledge, TransferError> {
    let record = newest.ok_or(TransferError::NoRecord)?.record;
    let expected = record.at.bytes;
    if expected as usize > KNOWLEDGE_BYTES_MAX {
        return Err(KnowledgeError::TooLarge(expected as usize).into());
    }
    let bytes = read_bytes(front, &record.at).await?;
    if bytes.len() != expected as usize {
        return Err(TransferError::Length(bytes.len(), expected));
    }
    Ok(decode(&bytes, &record)?)
}

async fn read_bytes(front: &Front, at: &DataLocation) -> Result<Bytes, StoreError> {
    let timeout = Duration::from_millis(READ_TIMEOUT_MS);
    let kb = at.bytes / 1_024 + READ_EXTRA_KB;
    let mut attempts = 1;
    loop {
        let read = front
            .storage
            .read_data_record(at.partition, at.offset, kb, timeout);
        match read.await {
            Err(StoreError::Gone(reason)) => return Err(StoreError::Gone(reason)),
            Err(error) if attempts < READ_ATTEMPTS_MAX => {
                log::debug!(event = "shard-knowledge-read-failed", attempts, error:% = error; "");
                attempts += 1;
                front.storage.pause(READ_PAUSE_MS).await;
            }
            outcome => return outcome,
        }
    }
}
