//! Encoding of datagrams: the id of the shared key, the `postcard` bytes of [`Datagram`] and an
//! authentication code. Messages that exceed one packet are split over several.
//!
//! A replayed datagram is accepted. That is harmless, because the messages carry incarnations
//! or versions and a receiver ignores a message that is older than its own state.

use bytes::{Bytes, BytesMut};

use crate::authentication::{Authenticator, Purpose, TAG_BYTES};
use crate::handshake::signing_key;
use crate::payload::{decode_exact, encode};
use crate::{CodecError, Datagram, GossipMessage, KEY_ID_BYTES, Key, Keys};

/// Largest packet in bytes; below the smallest MTU of IPv6 (1280 bytes), so that no packet is
/// fragmented.
pub const DATAGRAM_BYTES_MAX: usize = 1_200;

/// Upper bound of the bytes that encode the number of messages in one packet.
const COUNT_BYTES_MAX: usize = 2;

/// Encodes `datagram` as one or more packets. Also returns the errors of messages that are too
/// large for any packet and were omitted.
pub fn write_datagram(
    datagram: &Datagram,
    key: &Key,
) -> Result<(Vec<Bytes>, Vec<CodecError>), CodecError> {
    let capacity_bytes = DATAGRAM_BYTES_MAX - KEY_ID_BYTES - TAG_BYTES - header_bytes(datagram)?;
    let (groups, errors) = pack_messages(&datagram.messages, capacity_bytes)?;
    let packets = groups
        .into_iter()
        .map(|messages| write_packet(datagram, messages, key))
        .collect::<Result<_, _>>()?;
    Ok((packets, errors))
}

/// Verifies and decodes one packet.
pub fn read_datagram(packet: &[u8], keys: &Keys) -> Result<Datagram, CodecError> {
    if packet.len() > DATAGRAM_BYTES_MAX {
        return Err(CodecError::TooLarge(packet.len(), DATAGRAM_BYTES_MAX));
    }
    let signed_bytes = packet.len().checked_sub(TAG_BYTES);
    let signed_bytes = signed_bytes.ok_or(CodecError::TooShort(packet.len()))?;
    let (signed, tag) = packet.split_at(signed_bytes);
    let key = signing_key(signed, keys)?;
    Authenticator::with_shared_key(key).verify(Purpose::Datagram, &[], signed, tag)?;
    decode_exact(&signed[KEY_ID_BYTES..])
}

/// Bytes before the messages: sender, role and the number of messages.
fn header_bytes(datagram: &Datagram) -> Result<usize, CodecError> {
    let sender_bytes = encoded_bytes(&datagram.from)? + encoded_bytes(&datagram.role)?;
    Ok(sender_bytes + COUNT_BYTES_MAX)
}

/// Groups the messages into packets and keeps their order. Returns at least one group, so that
/// a datagram without messages is sent too.
fn pack_messages(
    messages: &[GossipMessage],
    capacity_bytes: usize,
) -> Result<(Vec<Vec<GossipMessage>>, Vec<CodecError>), CodecError> {
    let mut groups = vec![Vec::new()];
    let mut errors = Vec::new();
    let mut used_bytes = 0;
    for message in messages {
        let size_bytes = encoded_bytes(message)?;
        if size_bytes > capacity_bytes {
            errors.push(CodecError::MessageTooLarge(size_bytes));
            continue;
        }
        if used_bytes + size_bytes > capacity_bytes {
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

fn write_packet(
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
    encode(&part, &mut out)?;
    let tag = Authenticator::with_shared_key(key).sign(Purpose::Datagram, &[], &out);
    out.extend_from_slice(&tag);
    Ok(out.freeze())
}

fn encoded_bytes<T: serde::Serialize>(value: &T) -> Result<usize, CodecError> {
    postcard::experimental::serialized_size(value).map_err(|_| CodecError::Malformed)
}
