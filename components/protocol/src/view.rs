//! Hand-written serialisation of the most frequent frames, [`Frame::Chunk`] and
//! [`Frame::Received`]. The encoding equals the derived one of [`Frame`](crate::Frame).
//!
//! The views borrow the bytes of a chunk, so writing copies them in one piece instead of
//! element by element, and reading does not copy them out of the received buffer.
//!
//! [`Frame::Chunk`]: crate::Frame::Chunk
//! [`Frame::Received`]: crate::Frame::Received

use std::fmt;

use serde::de::{Error, SeqAccess, Visitor};
use serde::ser::SerializeTuple;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use types::CallId;

/// Index of the variant `Chunk` in [`Frame`](crate::Frame).
pub(crate) const CHUNK_INDEX: u32 = 6;
/// Index of the variant `Received` in [`Frame`](crate::Frame).
pub(crate) const RECEIVED_INDEX: u32 = 9;

/// Borrowed form of [`Frame::Chunk`](crate::Frame::Chunk).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ChunkView<'a> {
    pub id: CallId,
    pub part: u32,
    pub bytes: &'a [u8],
}

/// Form of [`Frame::Received`](crate::Frame::Received) with a hand-written encoding.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ReceivedView {
    pub id: CallId,
    pub next_part: u32,
}

/// Serialises as a byte string instead of a sequence of numbers.
struct ByteString<'a>(&'a [u8]);

impl Serialize for ByteString<'_> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_bytes(self.0)
    }
}

impl Serialize for ChunkView<'_> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut tuple = serializer.serialize_tuple(4)?;
        tuple.serialize_element(&CHUNK_INDEX)?;
        tuple.serialize_element(&self.id)?;
        tuple.serialize_element(&self.part)?;
        tuple.serialize_element(&ByteString(self.bytes))?;
        tuple.end()
    }
}

impl Serialize for ReceivedView {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut tuple = serializer.serialize_tuple(3)?;
        tuple.serialize_element(&RECEIVED_INDEX)?;
        tuple.serialize_element(&self.id)?;
        tuple.serialize_element(&self.next_part)?;
        tuple.end()
    }
}

impl<'de: 'a, 'a> Deserialize<'de> for ChunkView<'a> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_tuple(4, ChunkVisitor)
    }
}

impl<'de> Deserialize<'de> for ReceivedView {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_tuple(3, ReceivedVisitor)
    }
}

struct ChunkVisitor;

impl<'de> Visitor<'de> for ChunkVisitor {
    type Value = ChunkView<'de>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a chunk of an answer")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Self::Value, A::Error> {
        expect_index(&mut seq, CHUNK_INDEX)?;
        Ok(ChunkView {
            id: next_element(&mut seq)?,
            part: next_element(&mut seq)?,
            bytes: next_element(&mut seq)?,
        })
    }
}

struct ReceivedVisitor;

impl<'de> Visitor<'de> for ReceivedVisitor {
    type Value = ReceivedView;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("an acknowledgement of parts")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Self::Value, A::Error> {
        expect_index(&mut seq, RECEIVED_INDEX)?;
        Ok(ReceivedView {
            id: next_element(&mut seq)?,
            next_part: next_element(&mut seq)?,
        })
    }
}

fn expect_index<'de, A: SeqAccess<'de>>(seq: &mut A, expected: u32) -> Result<(), A::Error> {
    let found: u32 = next_element(seq)?;
    if found == expected {
        Ok(())
    } else {
        Err(A::Error::custom("unexpected variant index of a frame"))
    }
}

fn next_element<'de, T: Deserialize<'de>, A: SeqAccess<'de>>(seq: &mut A) -> Result<T, A::Error> {
    seq.next_element()?
        .ok_or_else(|| A::Error::custom("frame ends before its last field"))
}
