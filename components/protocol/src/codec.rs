//! Frames on a stream: a length, the `postcard` payload, an authentication code.
//!
//! The code covers the direction and the number of the frame, so a frame that was
//! garbled, left out, doubled, moved or taken from another connection does not pass. A
//! frame of which the last byte is missing never reaches the receiver's logic.

use bytes::{Buf, Bytes, BytesMut};

use crate::authentication::{Authenticator, Purpose, TAG_BYTES};
use crate::payload::{append_frame, read_frame};
use crate::{CodecError, Direction, Frame, Key, Nonce};

/// Bytes of the length before a frame, little-endian; it counts payload and code.
pub const LENGTH_BYTES: usize = 4;
/// Bytes that a frame has beside its payload.
pub const FRAME_OVERHEAD_BYTES: usize = LENGTH_BYTES + TAG_BYTES;

/// What makes the two directions of one connection.
#[derive(Clone, Copy, Debug)]
pub struct Session<'a> {
    /// Shared key that the greetings were signed with.
    pub key: &'a Key,
    /// Nonce of the process that connected.
    pub caller_nonce: &'a Nonce,
    /// Nonce of the process that was connected to.
    pub callee_nonce: &'a Nonce,
    /// Largest frame, without its length, in bytes.
    pub frame_bytes_max: usize,
}

/// Writes the frames of one direction.
pub struct FrameWriter(Direct);

/// Reads the frames of one direction.
pub struct FrameReader(Direct);

struct Direct {
    authenticator: Authenticator,
    direction: Direction,
    counter: u64,
    frame_bytes_max: usize,
}

impl Direct {
    fn new(session: &Session<'_>, direction: Direction) -> Self {
        let Session {
            key,
            caller_nonce,
            callee_nonce,
            frame_bytes_max,
        } = *session;
        Self {
            authenticator: Authenticator::session(key, caller_nonce, callee_nonce),
            direction,
            counter: 0,
            frame_bytes_max,
        }
    }

    fn next_context(&mut self) -> [u8; 8] {
        let context = self.counter.to_le_bytes();
        self.counter += 1;
        context
    }
}

impl FrameWriter {
    /// Writes what goes in `direction`.
    pub fn new(session: &Session<'_>, direction: Direction) -> Self {
        Self(Direct::new(session, direction))
    }

    /// Appends `frame` to `out`. After an error `out` is as before and the next frame can
    /// still be written.
    pub fn write(&mut self, frame: &Frame, out: &mut BytesMut) -> Result<(), CodecError> {
        let start = out.len();
        let result = self.append(frame, out, start);
        if result.is_err() {
            out.truncate(start);
        }
        result
    }

    fn append(
        &mut self,
        frame: &Frame,
        out: &mut BytesMut,
        start: usize,
    ) -> Result<(), CodecError> {
        out.extend_from_slice(&[0; LENGTH_BYTES]);
        append_frame(frame, out)?;
        let payload_start = start + LENGTH_BYTES;
        let size_bytes = out.len() - payload_start + TAG_BYTES;
        let length = checked_length(size_bytes, self.0.frame_bytes_max)?;
        out[start..payload_start].copy_from_slice(&length.to_le_bytes());
        let context = self.0.next_context();
        let purpose = Purpose::Frame(self.0.direction);
        let tag = self
            .0
            .authenticator
            .sign(purpose, &context, &out[payload_start..]);
        out.extend_from_slice(&tag);
        Ok(())
    }
}

impl FrameReader {
    /// Reads what comes in `direction`.
    pub fn new(session: &Session<'_>, direction: Direction) -> Self {
        Self(Direct::new(session, direction))
    }

    /// Takes the next frame out of `buffer`; `None` until all of it is there. After an
    /// error the stream cannot be read on.
    pub fn read(&mut self, buffer: &mut BytesMut) -> Result<Option<Frame>, CodecError> {
        let Some(body) = split_body(buffer, self.0.frame_bytes_max)? else {
            return Ok(None);
        };
        let payload = self.authentic(&body)?;
        read_frame(&payload).map(Some)
    }

    fn authentic(&mut self, body: &Bytes) -> Result<Bytes, CodecError> {
        let payload = body.slice(..body.len() - TAG_BYTES);
        let tag = &body[payload.len()..];
        let context = self.0.next_context();
        let purpose = Purpose::Frame(self.0.direction);
        self.0
            .authenticator
            .check(purpose, &context, &payload, tag)?;
        Ok(payload)
    }
}

/// Whether a stream that ended with `rest` unread ended between two frames.
pub fn check_end(rest: &[u8]) -> Result<(), CodecError> {
    if rest.is_empty() {
        Ok(())
    } else {
        Err(CodecError::Truncated)
    }
}

/// Takes the body of the next message, code included, out of `buffer`. The limit is
/// checked before anything is reserved for the message.
pub(crate) fn split_body(
    buffer: &mut BytesMut,
    max_bytes: usize,
) -> Result<Option<Bytes>, CodecError> {
    let Some(prefix) = buffer.first_chunk::<LENGTH_BYTES>() else {
        return Ok(None);
    };
    let size_bytes = u32::from_le_bytes(*prefix) as usize;
    checked_length(size_bytes, max_bytes)?;
    if size_bytes < TAG_BYTES {
        return Err(CodecError::TooShort(size_bytes));
    }
    if buffer.len() < LENGTH_BYTES + size_bytes {
        return Ok(None);
    }
    buffer.advance(LENGTH_BYTES);
    Ok(Some(buffer.split_to(size_bytes).freeze()))
}

pub(crate) fn checked_length(size_bytes: usize, max_bytes: usize) -> Result<u32, CodecError> {
    let too_large = CodecError::TooLarge(size_bytes, max_bytes);
    if size_bytes > max_bytes {
        return Err(too_large);
    }
    u32::try_from(size_bytes).map_err(|_| too_large)
}
