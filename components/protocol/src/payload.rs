//! Frames to `postcard` bytes and back.

use bytes::{Bytes, BytesMut};
use postcard::ser_flavors::Flavor;
use serde::Serialize;

use crate::view::{CHUNK_INDEX, ChunkView, RECEIVED_INDEX, ReceivedView};
use crate::{CodecError, Frame};

/// Appends to a buffer in slices; `postcard`'s own writer to a growing buffer takes one
/// byte at a time.
struct Appender<'a>(&'a mut BytesMut);

impl Flavor for Appender<'_> {
    type Output = ();

    fn try_extend(&mut self, data: &[u8]) -> postcard::Result<()> {
        self.0.extend_from_slice(data);
        Ok(())
    }

    fn try_push(&mut self, data: u8) -> postcard::Result<()> {
        self.0.extend_from_slice(&[data]);
        Ok(())
    }

    fn finalize(self) -> postcard::Result<()> {
        Ok(())
    }
}

pub(crate) fn append<T: Serialize>(value: &T, out: &mut BytesMut) -> Result<(), CodecError> {
    postcard::serialize_with_flavor(value, Appender(out)).map_err(|_| CodecError::Malformed)
}

pub(crate) fn append_frame(frame: &Frame, out: &mut BytesMut) -> Result<(), CodecError> {
    match frame {
        Frame::Chunk { id, part, bytes } => {
            let (id, part) = (*id, *part);
            append(&ChunkView { id, part, bytes }, out)
        }
        Frame::Received { id, next_part } => {
            let (id, next_part) = (*id, *next_part);
            append(&ReceivedView { id, next_part }, out)
        }
        other => append(other, out),
    }
}

/// Reads a frame that fills `payload`. The bytes of a chunk are a slice of `payload`.
pub(crate) fn read_frame(payload: &Bytes) -> Result<Frame, CodecError> {
    let index = payload.first().copied().ok_or(CodecError::Malformed)?;
    if u32::from(index) == CHUNK_INDEX {
        let view: ChunkView<'_> = read_whole(payload)?;
        return Ok(Frame::Chunk {
            id: view.id,
            part: view.part,
            bytes: payload.slice_ref(view.bytes),
        });
    }
    if u32::from(index) == RECEIVED_INDEX {
        let view: ReceivedView = read_whole(payload)?;
        return Ok(Frame::Received {
            id: view.id,
            next_part: view.next_part,
        });
    }
    read_whole(payload)
}

pub(crate) fn read_whole<'a, T: serde::Deserialize<'a>>(
    payload: &'a [u8],
) -> Result<T, CodecError> {
    let (value, rest) = postcard::take_from_bytes(payload).map_err(|_| CodecError::Malformed)?;
    if rest.is_empty() {
        Ok(value)
    } else {
        Err(CodecError::Malformed)
    }
}
