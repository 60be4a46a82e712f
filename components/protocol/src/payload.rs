//! Conversion between frames and their `postcard` bytes.

use bytes::{Bytes, BytesMut};
use postcard::ser_flavors::Flavor;
use serde::Serialize;

use crate::view::{CHUNK_INDEX, ChunkView, RECEIVED_INDEX, ReceivedView};
use crate::{CodecError, Frame};

/// Output that appends whole slices to a buffer; `postcard`'s own output for growing buffers
/// appends byte by byte.
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

pub(crate) fn encode<T: Serialize>(value: &T, out: &mut BytesMut) -> Result<(), CodecError> {
    postcard::serialize_with_flavor(value, Appender(out)).map_err(|_| CodecError::Malformed)
}

pub(crate) fn encode_frame(frame: &Frame, out: &mut BytesMut) -> Result<(), CodecError> {
    match frame {
        Frame::Chunk { id, part, bytes } => {
            let (id, part) = (*id, *part);
            encode(&ChunkView { id, part, bytes }, out)
        }
        Frame::Received { id, next_part } => {
            let (id, next_part) = (*id, *next_part);
            encode(&ReceivedView { id, next_part }, out)
        }
        other => encode(other, out),
    }
}

/// Decodes a frame that fills `payload`. The bytes of a chunk share the memory of `payload`.
pub(crate) fn decode_frame(payload: &Bytes) -> Result<Frame, CodecError> {
    let index = payload.first().copied().ok_or(CodecError::Malformed)?;
    if u32::from(index) == CHUNK_INDEX {
        let view: ChunkView<'_> = decode_exact(payload)?;
        return Ok(Frame::Chunk {
            id: view.id,
            part: view.part,
            bytes: payload.slice_ref(view.bytes),
        });
    }
    if u32::from(index) == RECEIVED_INDEX {
        let view: ReceivedView = decode_exact(payload)?;
        return Ok(Frame::Received {
            id: view.id,
            next_part: view.next_part,
        });
    }
    decode_exact(payload)
}

pub(crate) fn decode_exact<'a, T: serde::Deserialize<'a>>(
    payload: &'a [u8],
) -> Result<T, CodecError> {
    let (value, rest) = postcard::take_from_bytes(payload).map_err(|_| CodecError::Malformed)?;
    if rest.is_empty() {
        Ok(value)
    } else {
        Err(CodecError::Malformed)
    }
}
