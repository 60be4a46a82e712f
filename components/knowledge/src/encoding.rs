//! Encoding of an owner's knowledge, of bounded size.

use derive::value;
use serde::Serialize;

use crate::{KnowledgeError, ModelLengths, ShardKnowledge, ShardRecord};

/// Version of the encoding that this release writes and reads.
pub const KNOWLEDGE_VERSION: u32 = 1;
/// Largest encoded knowledge. One record a second of each shard is written and kept for minutes.
pub const KNOWLEDGE_BYTES_MAX: usize = 32 * 1024;

/// A part of the knowledge that may be left out.
#[value]
pub enum KnowledgePart {
    /// All replicas.
    Replicas,
    /// Lengths of the texts of a model.
    Lengths(String),
    /// All runs.
    Runs,
}

/// Encoded knowledge.
#[value]
pub struct EncodedKnowledge {
    /// Contents of a record of the data topic.
    pub bytes: Vec<u8>,
    /// Parts that were left out because the record would have been too large.
    pub dropped: Vec<KnowledgePart>,
}

/// Encodes knowledge for the data topic. Leaves out the largest parts if there are more than
/// [`KNOWLEDGE_BYTES_MAX`] bytes.
pub fn encode(mut knowledge: ShardKnowledge) -> Result<EncodedKnowledge, KnowledgeError> {
    let mut dropped = Vec::new();
    loop {
        let bytes = encoded(&knowledge)?;
        if bytes.len() <= KNOWLEDGE_BYTES_MAX {
            return Ok(EncodedKnowledge { bytes, dropped });
        }
        match drop_largest_part(&mut knowledge)? {
            Some(part) => dropped.push(part),
            None => return Err(KnowledgeError::TooLarge(bytes.len())),
        }
    }
}

/// Decodes the record of the data topic that `record` refers to.
pub fn decode(bytes: &[u8], record: &ShardRecord) -> Result<ShardKnowledge, KnowledgeError> {
    if bytes.len() > KNOWLEDGE_BYTES_MAX {
        return Err(KnowledgeError::TooLarge(bytes.len()));
    }
    let (version, _) = postcard::take_from_bytes(bytes).map_err(KnowledgeError::Decode)?;
    if version != KNOWLEDGE_VERSION {
        return Err(KnowledgeError::UnknownVersion(version));
    }
    let knowledge: ShardKnowledge = postcard::from_bytes(bytes).map_err(KnowledgeError::Decode)?;
    let written = (&knowledge.pool, knowledge.shard, &knowledge.node);
    if written != (&record.pool, record.shard, &record.node) {
        let ShardKnowledge {
            pool, shard, node, ..
        } = knowledge;
        return Err(KnowledgeError::OtherRecord(pool, shard, node));
    }
    Ok(knowledge)
}

/// Removes the largest part and returns which one it was; `None` if all are empty. Of the lengths,
/// those of one model are removed.
fn drop_largest_part(
    knowledge: &mut ShardKnowledge,
) -> Result<Option<KnowledgePart>, KnowledgeError> {
    let [replicas, lengths, runs] = [
        size(&knowledge.replicas)?,
        size(&knowledge.lengths)?,
        size(&knowledge.runs)?,
    ];
    let largest = replicas.max(lengths).max(runs);
    if largest == runs && !knowledge.runs.is_empty() {
        knowledge.runs.clear();
        return Ok(Some(KnowledgePart::Runs));
    }
    if largest == replicas && !knowledge.replicas.is_empty() {
        // Runs refer to replicas by their index.
        knowledge.replicas.clear();
        knowledge.runs.clear();
        return Ok(Some(KnowledgePart::Replicas));
    }
    drop_largest_model(&mut knowledge.lengths)
}

fn drop_largest_model(
    lengths: &mut Vec<ModelLengths>,
) -> Result<Option<KnowledgePart>, KnowledgeError> {
    let mut largest = None;
    for (index, model) in lengths.iter().enumerate() {
        largest = largest.max(Some((size(model)?, index)));
    }
    Ok(largest.map(|(_, index)| KnowledgePart::Lengths(lengths.remove(index).model)))
}

fn encoded(value: &impl Serialize) -> Result<Vec<u8>, KnowledgeError> {
    postcard::to_stdvec(value).map_err(KnowledgeError::Encode)
}

fn size(value: &impl Serialize) -> Result<usize, KnowledgeError> {
    Ok(encoded(value)?.len())
}
