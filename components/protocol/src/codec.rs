//! Encoding of frames on a stream: a length, the `postcard` payload and an authentication code.
//!
//! The code covers the direction and the sequence number of the frame, so that a frame that was
//! corrupted, dropped, duplicated, reordered or copied from another connection is rejected. A
//! frame is decoded only once it has been received completely.

use bytes::{Buf, Bytes, BytesMut};

use crate::authentication::{Authenticator, Purpose, TAG_BYTES};
use crate::payload::{decode_frame, encode_frame};
use crate::{CodecError, Direction, Frame, Key, Nonce};

/// Size in bytes of the length prefix of a frame. The prefix is little-endian and counts the
/// payload and the authentication code.
pub const LENGTH_BYTES: usize = 4;
/// Bytes of a frame besides its payload.
pub const FRAME_OVERHEAD_BYTES: usize = LENGTH_BYTES + TAG_BYTES;

/// Parameters of one connection, from which both directions derive their state.
#[derive(Clone, Copy, Debug)]
pub struct Session<'a> {
    /// Shared key that signed the handshake.
    pub key: &'a Key,
    /// Nonce of the process that connected.
    pub caller_nonce: &'a Nonce,
    /// Nonce of the process that accepted the connection.
    pub callee_nonce: &'a Nonce,
    /// Largest frame in bytes, without its length prefix.
    pub frame_bytes_max: usize,
}

/// Encodes and signs the frames of one direction.
pub struct FrameWriter(DirectionState);

/// Verifies and decodes the frames of one direction.
pub struct FrameReader(DirectionState);

struct DirectionState {
    authenticator: Authenticator,
    direction: Direction,
    counter: u64,
    frame_bytes_max: usize,
}

impl DirectionState {
    fn new(session: &Session<'_>, direction: Direction) -> Self {
        let Session {
            key,
            caller_nonce,
            callee_nonce,
            frame_bytes_max,
        } = *session;
        Self {
            authenticator: Authenticator::with_session_key(key, caller_nonce, callee_nonce),
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
    /// Creates the writer for frames sent in `direction`.
    pub fn new(session: &Session<'_>, direction: Direction) -> Self {
        Self(DirectionState::new(session, direction))
    }

    /// Appends `frame` to `out`. After an error `out` is unchanged and the next frame can still
    /// be written.
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
        encode_frame(frame, out)?;
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
    /// Creates the reader for frames sent in `direction`.
    pub fn new(session: &Session<'_>, direction: Direction) -> Self {
        Self(DirectionState::new(session, direction))
    }

    /// Removes the next frame from `buffer`; returns `None` until the frame is complete. After
    /// an error the rest of the stream cannot be read.
    pub fn read(&mut self, buffer: &mut BytesMut) -> Result<Option<Frame>, CodecError> {
        let Some(body) = split_body(buffer, self.0.frame_bytes_max)? else {
            return Ok(None);
        };
        let payload = self.verified_payload(&body)?;
        decode_frame(&payload).map(Some)
    }

    fn verified_payload(&mut self, body: &Bytes) -> Result<Bytes, CodecError> {
        let payload = body.slice(..body.len() - TAG_BYTES);
        let tag = &body[payload.len()..];
        let context = self.0.next_context();
        let purpose = Purpose::Frame(self.0.direction);
        self.0
            .authenticator
            .verify(purpose, &context, &payload, tag)?;
        Ok(payload)
    }
}

/// Checks that a stream ended between two frames; `rest` is what was left in the buffer.
pub fn check_end(rest: &[u8]) -> Result<(), CodecError> {
    if rest.is_empty() {
        Ok(())
    } else {
        Err(CodecError::Truncated)
    }
}

/// Removes the next message from `buffer` and returns it without its length prefix, with its
/// authentication code. The limit is checked before memory is reserved for the message.
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
