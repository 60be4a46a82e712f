//! Datagrams as bytes: the short id of the shared key, the `postcard` bytes of
//! [`Datagram`], an authentication code. News that fill more than one go out as several.
//!
//! A replayed datagram passes; each kind of news carries an order of its own
//! (incarnations, versions), and an old one loses against what the receiver holds.

use bytes::{Bytes, BytesMut};

use crate::authentication::{Authenticator, Purpose, TAG_BYTES};
use crate::greeting::signing_key;
use crate::payload::{append, read_whole};
use crate::{CodecError, Datagram, GossipMessage, KEY_ID_BYTES, Key, Keys};

/// Largest datagram, in bytes; below what any IPv6 path carries in one piece.
pub const DATAGRAM_BYTES_MAX: usize = 1_200;

/// Most bytes of the number that counts the news in one datagram.
const COUNT_BYTES_MAX: usize = 2;

/// The packets that carry `datagram`, and the errors of news that fit none.
pub fn write_datagram(
    datagram: &Datagram,
    key: &Key,
) -> Result<(Vec<Bytes>, Vec<CodecError>), CodecError> {
    let room_bytes = DATAGRAM_BYTES_MAX - KEY_ID_BYTES - TAG_BYTES - header_bytes(datagram)?;
    let (groups, errors) = group(&datagram.messages, room_bytes)?;
    let packets = groups
        .into_iter()
        .map(|messages| packet(datagram, messages, key))
        .collect::<Result<_, _>>()?;
    Ok((packets, errors))
}

/// Reads one packet.
pub fn read_datagram(packet: &[u8], keys: &Keys) -> Result<Datagram, CodecError> {
    if packet.len() > DATAGRAM_BYTES_MAX {
        return Err(CodecError::TooLarge(packet.len(), DATAGRAM_BYTES_MAX));
    }
    let signed_bytes = packet.len().checked_sub(TAG_BYTES);
    let signed_bytes = signed_bytes.ok_or(CodecError::TooShort(packet.len()))?;
    let (signed, tag) = packet.split_at(signed_bytes);
    let key = signing_key(signed, keys)?;
    Authenticator::shared(key).check(Purpose::Datagram, &[], signed, tag)?;
    read_whole(&signed[KEY_ID_BYTES..])
}

/// Bytes before the news: sender, role and the number of news.
fn header_bytes(datagram: &Datagram) -> Result<usize, CodecError> {
    let sender_bytes = size_bytes(&datagram.from)? + size_bytes(&datagram.role)?;
    Ok(sender_bytes + COUNT_BYTES_MAX)
}

/// Packs the news in their order. Always gives at least one group, so that a datagram
/// without news is sent as well.
fn group(
    messages: &[GossipMessage],
    room_bytes: usize,
) -> Result<(Vec<Vec<GossipMessage>>, Vec<CodecError>), CodecError> {
    let mut groups = vec![Vec::new()];
    let mut errors = Vec::new();
    let mut used_bytes = 0;
    for message in messages {
        let size_bytes = size_bytes(message)?;
        if size_bytes > room_bytes {
            errors.push(CodecError::MessageTooLarge(size_bytes));
            continue;
        }
        if used_bytes + size_bytes > room_bytes {
            groups.push(Vec::new());
            used_bytes = 0;
        }
        used_bytes += size_bytes;
        if let Some(last) = groups.last_mut() {
            last.push(message.clone());
        }
    }
    Ok((groups, errors))
}

fn packet(
    datagram: &Datagram,
    messages: Vec<GossipMessage>,
    key: &Key,
) -> Result<Bytes, CodecError> {
    let part = Datagram {
        from: datagram.from,
        role: datagram.role,
        messages,
    };
    let mut out = BytesMut::with_capacity(DATAGRAM_BYTES_MAX);
    out.extend_from_slice(&key.id());
    append(&part, &mut out)?;
    let tag = Authenticator::shared(key).sign(Purpose::Datagram, &[], &out);
    out.extend_from_slice(&tag);
    Ok(out.freeze())
}

fn size_bytes<T: serde::Serialize>(value: &T) -> Result<usize, CodecError> {
    postcard::experimental::serialized_size(value).map_err(|_| CodecError::Malformed)
}
