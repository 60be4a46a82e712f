//! The handshake: the first frame in each direction of a connection. It consists of a length,
//! the id of the shared key, the `postcard` bytes of [`Hello`] and an authentication code.
//!
//! The callee signs with the key that the caller used, so that callers with either key are
//! served while keys are rotated. The callee's authentication code covers the caller's nonce,
//! so that a recorded `Hello` of the callee cannot be replayed on a new connection.

use bytes::{Bytes, BytesMut};

use crate::authentication::{Authenticator, Purpose, TAG_BYTES};
use crate::codec::{LENGTH_BYTES, checked_length, split_body};
use crate::payload::encode;
use crate::{CodecError, Direction, Hello, KEY_ID_BYTES, Key, Keys, Nonce};

/// Oldest protocol version that this release supports.
pub const VERSION_MIN: u16 = 1;
/// Newest protocol version that this release supports.
pub const VERSION_MAX: u16 = 1;
/// Largest hello frame in bytes, without its length prefix.
pub const HELLO_BYTES_MAX: usize = 512;

/// Appends the hello frame of the process that connects.
pub fn write_caller_hello(hello: &Hello, key: &Key, out: &mut BytesMut) -> Result<(), CodecError> {
    write(hello, key, Direction::FromCaller, &[], out)
}

/// Appends the hello frame of the process that accepts the connection.
pub fn write_callee_hello(
    hello: &Hello,
    key: &Key,
    caller_nonce: &Nonce,
    out: &mut BytesMut,
) -> Result<(), CodecError> {
    write(hello, key, Direction::FromCallee, caller_nonce, out)
}

/// Removes the caller's hello frame from `buffer` and returns it with the key that signed it.
/// Returns `None` until the frame is complete.
pub fn read_caller_hello<'k>(
    buffer: &mut BytesMut,
    keys: &'k Keys,
) -> Result<Option<(Hello, &'k Key)>, CodecError> {
    read(buffer, keys, Direction::FromCaller, &[])
}

/// Removes the callee's hello frame from `buffer` and returns it with the key that signed it.
/// Returns `None` until the frame is complete.
pub fn read_callee_hello<'k>(
    buffer: &mut BytesMut,
    keys: &'k Keys,
    caller_nonce: &Nonce,
) -> Result<Option<(Hello, &'k Key)>, CodecError> {
    read(buffer, keys, Direction::FromCallee, caller_nonce)
}

/// Returns the newest protocol version that both this release and the peer support.
pub fn negotiate_version(peer: &Hello) -> Result<u16, CodecError> {
    let newest = VERSION_MAX.min(peer.version_max);
    let oldest = VERSION_MIN.max(peer.version_min);
    if newest < oldest {
        return Err(CodecError::NoCommonVersion(
            peer.version_min,
            peer.version_max,
        ));
    }
    Ok(newest)
}

fn write(
    hello: &Hello,
    key: &Key,
    direction: Direction,
    context: &[u8],
    out: &mut BytesMut,
) -> Result<(), CodecError> {
    let mut body = BytesMut::from(&key.id()[..]);
    encode(hello, &mut body)?;
    let tag = Authenticator::with_shared_key(key).sign(Purpose::Hello(direction), context, &body);
    body.extend_from_slice(&tag);
    let length = checked_length(body.len(), HELLO_BYTES_MAX)?;
    out.reserve(LENGTH_BYTES + body.len());
    out.extend_from_slice(&length.to_le_bytes());
    out.extend_from_slice(&body);
    Ok(())
}

fn read<'k>(
    buffer: &mut BytesMut,
    keys: &'k Keys,
    direction: Direction,
    context: &[u8],
) -> Result<Option<(Hello, &'k Key)>, CodecError> {
    let Some(body) = split_body(buffer, HELLO_BYTES_MAX)? else {
        return Ok(None);
    };
    let (signed, tag) = body.split_at(body.len() - TAG_BYTES);
    let key = signing_key(signed, keys)?;
    Authenticator::with_shared_key(key).verify(Purpose::Hello(direction), context, signed, tag)?;
    parse(&body.slice(KEY_ID_BYTES..signed.len())).map(|hello| Some((hello, key)))
}

pub(crate) fn signing_key<'k>(signed: &[u8], keys: &'k Keys) -> Result<&'k Key, CodecError> {
    let id = signed
        .first_chunk::<KEY_ID_BYTES>()
        .ok_or(CodecError::TooShort(signed.len()))?;
    keys.find(*id).ok_or(CodecError::UnknownKey(*id))
}

/// Ignores bytes after the known fields: a later release may add fields, and its version
/// numbers must be readable nevertheless.
fn parse(payload: &Bytes) -> Result<Hello, CodecError> {
    postcard::take_from_bytes(payload)
        .map(|(hello, _rest)| hello)
        .map_err(|_| CodecError::Malformed)
}
