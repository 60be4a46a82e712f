//! Base64url and run-length encoding for cursors. Implemented here rather than by a library,
//! so that no change of a library's format can invalidate the cursors in trainers'
//! checkpoints.

use crate::slots::SlotSet;

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";
const KIND_BITS: u8 = 0;
const KIND_RUNS: u8 = 1;
const VARINT_CONTINUE: u8 = 0x80;
const VARINT_BITS: u32 = 7;

/// Encodes bytes as base64url without padding.
pub(crate) fn to_text(bytes: &[u8]) -> String {
    let mut text = String::with_capacity(bytes.len().div_ceil(3) * 4);
    for part in bytes.chunks(3) {
        let mut word = [0; 4];
        word[1..=part.len()].copy_from_slice(part);
        let number = u32::from_be_bytes(word);
        for digit in 0..=part.len() {
            let value = (number >> (18 - 6 * digit)) & 63;
            text.push(char::from(ALPHABET[value as usize]));
        }
    }
    text
}

/// Decodes a base64url text; `None` unless the text is exactly what [`to_text`] returns.
pub(crate) fn from_text(text: &str) -> Option<Vec<u8>> {
    let mut bytes = Vec::with_capacity(text.len() / 4 * 3 + 2);
    for part in text.as_bytes().chunks(4) {
        let mut number = 0;
        for (digit, &letter) in part.iter().enumerate() {
            number |= value(letter)? << (18 - 6 * digit);
        }
        let word: [u8; 4] = number.to_be_bytes();
        bytes.extend_from_slice(&word[1..part.len()]);
    }
    // Unused bits or a single trailing letter allow several texts for the same bytes; accept
    // only the canonical one.
    (to_text(&bytes) == text).then_some(bytes)
}

fn value(letter: u8) -> Option<u32> {
    let value = match letter {
        b'A'..=b'Z' => letter - b'A',
        b'a'..=b'z' => letter - b'a' + 26,
        b'0'..=b'9' => letter - b'0' + 52,
        b'-' => 62,
        b'_' => 63,
        _ => return None,
    };
    Some(u32::from(value))
}

/// Encodes the set in the shorter of two forms: a bitmap, or run lengths that start with the
/// absent slots.
pub(crate) fn pack(set: &SlotSet) -> Vec<u8> {
    let bits = set.to_bytes();
    let runs = runs(set);
    let (kind, body) = if runs.len() < bits.len() {
        (KIND_RUNS, runs)
    } else {
        (KIND_BITS, bits)
    };
    let mut packed = vec![kind];
    packed.extend(body);
    packed
}

/// Decodes the output of [`pack`] for a step of `total` slots; `None` if it is malformed.
pub(crate) fn unpack(total: u32, packed: &[u8]) -> Option<SlotSet> {
    let (&kind, body) = packed.split_first()?;
    match kind {
        KIND_BITS => SlotSet::from_bytes(total, body),
        KIND_RUNS => from_runs(total, body),
        _ => None,
    }
}

fn runs(set: &SlotSet) -> Vec<u8> {
    let mut out = Vec::new();
    let mut present = false;
    let mut length = 0;
    for position in 0..set.total() {
        if set.contains(position) != present {
            put_varint(&mut out, length);
            present = !present;
            length = 0;
        }
        length += 1;
    }
    put_varint(&mut out, length);
    out
}

fn from_runs(total: u32, mut bytes: &[u8]) -> Option<SlotSet> {
    let mut set = SlotSet::new(total);
    let mut position = 0;
    let mut present = false;
    while !bytes.is_empty() {
        let end = take_varint(&mut bytes)?.checked_add(position)?;
        if end > total {
            return None;
        }
        for position in (position..end).filter(|_| present) {
            set.insert(position);
        }
        position = end;
        present = !present;
    }
    (position == total).then_some(set)
}

fn put_varint(out: &mut Vec<u8>, mut number: u32) {
    while number >= u32::from(VARINT_CONTINUE) {
        out.push(number as u8 | VARINT_CONTINUE);
        number >>= VARINT_BITS;
    }
    out.push(number as u8);
}

fn take_varint(bytes: &mut &[u8]) -> Option<u32> {
    let mut number = 0;
    let mut shift = 0;
    loop {
        let (&byte, rest) = bytes.split_first()?;
        *bytes = rest;
        let part = u32::from(byte & !VARINT_CONTINUE);
        number |= part.checked_shl(shift)?;
        if byte & VARINT_CONTINUE == 0 {
            return Some(number);
        }
        shift += VARINT_BITS;
    }
}
