//! The trainer's cursor: an opaque text that lists the slots of a step that it has received.
//!
//! The cursor is the only record of delivery. The trainer stores it in its checkpoint, so it
//! survives the loss of every VM and any outage of the log, and any entry that holds the
//! step can derive the missing slots from it. The cursor is authenticated, because a
//! corrupted one would silently lose or duplicate samples.
//!
//! Compared with a record of delivery in the log (see `fetch_log`), the cursor needs no
//! append and waits for no other process. In return, the trainer has to store a text of at
//! most about 760 bytes with its own state and send it with each fetch.

use derive::value;
use hmac::{Hmac, Mac};
use quick_error::quick_error;
use sha2::{Digest, Sha256};

use crate::codec;
use crate::slots::{SLOTS_MAX, SlotSet};
use crate::step::{Step, StepDigest, StepKey};

/// Size of an HMAC key.
const KEY_BYTES: usize = 32;
const FORMAT: u8 = 1;
const MAC_BYTES: usize = 16;
/// Domain separation: an authentication code that was computed with the same key for another
/// purpose is not valid for a cursor.
const MAC_PURPOSE: &[u8] = b"hornbeamrock cursor";
const TRAINER_DIGEST_BYTES: usize = 8;
const TEXT_BYTES_MAX: usize = 1_024;

quick_error! {
    /// Why a text is not a valid cursor for a step.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum CursorError {
        /// The text is not a cursor, was altered, or was signed with a key that is no longer
        /// accepted.
        Damaged {
            display("the cursor is damaged, or its key is no longer accepted")
        }
        /// The cursor has a format version that this build does not support.
        UnknownFormat(format: u8) {
            display("the cursor has form {}, this build reads form {}", format, FORMAT)
        }
        /// The cursor is for another customer or service.
        OtherTrainer {
            display("the cursor belongs to another trainer")
        }
        /// The cursor is for another step of the same trainer. Carries that step's number.
        OtherStep(step: u64) {
            display("the cursor belongs to step {}", step)
        }
        /// The cursor is for a post with the same step number and another content.
        OtherPost {
            display("the step was posted with another content than the cursor's")
        }
    }
}

/// Keys that authenticate cursors: one that signs, and optionally a second that is accepted.
#[derive(Clone)]
pub struct CursorKeys {
    signing: [u8; KEY_BYTES],
    also_accepted: Option<[u8; KEY_BYTES]>,
}

impl CursorKeys {
    /// Cursors are signed with `signing` and accepted with either key. `also_accepted` is set
    /// during a key rotation.
    pub fn new(signing: [u8; KEY_BYTES], also_accepted: Option<[u8; KEY_BYTES]>) -> Self {
        Self {
            signing,
            also_accepted,
        }
    }

    fn sign(&self, bytes: &[u8]) -> Option<[u8; MAC_BYTES]> {
        let code = mac(&self.signing, bytes)?.finalize().into_bytes();
        code.first_chunk().copied()
    }

    fn verify(&self, bytes: &[u8], code: &[u8]) -> bool {
        let keys = [Some(&self.signing), self.also_accepted.as_ref()];
        let matches = |key| mac(key, bytes).is_some_and(|m| m.verify_truncated_left(code).is_ok());
        keys.into_iter().flatten().any(matches)
    }
}

fn mac(key: &[u8; KEY_BYTES], bytes: &[u8]) -> Option<Hmac<Sha256>> {
    let mut mac = <Hmac<Sha256> as Mac>::new_from_slice(key).ok()?;
    mac.update(MAC_PURPOSE);
    mac.update(bytes);
    Some(mac)
}

/// The slots of one step that its trainer has received.
#[value]
pub struct Cursor {
    key: StepKey,
    digest: StepDigest,
    generation: u32,
    received: SlotSet,
}

impl Cursor {
    /// The cursor of a trainer that has received no slot of `step`.
    pub fn start(step: &Step) -> Self {
        Self {
            key: step.key.clone(),
            digest: step.digest(),
            generation: 0,
            received: SlotSet::new(step.total()),
        }
    }

    /// Decodes the text of a cursor and verifies that it is authentic and belongs to `step`.
    pub fn open(text: &str, keys: &CursorKeys, step: &Step) -> Result<Self, CursorError> {
        let bytes = verified_body(text, keys)?;
        let fields = Fields::read(&bytes)?;
        if fields.trainer != trainer_digest(&step.key) {
            return Err(CursorError::OtherTrainer);
        }
        if fields.step != step.key.step {
            return Err(CursorError::OtherStep(fields.step));
        }
        if fields.digest != step.digest() || fields.received.total() != step.total() {
            return Err(CursorError::OtherPost);
        }
        Ok(Self {
            key: step.key.clone(),
            digest: fields.digest,
            generation: fields.generation,
            received: fields.received,
        })
    }

    /// Encodes and signs the cursor.
    pub fn seal(&self, keys: &CursorKeys) -> String {
        let mut bytes = vec![FORMAT];
        bytes.extend(trainer_digest(&self.key));
        bytes.extend(self.key.step.to_be_bytes());
        bytes.extend(self.digest.0);
        bytes.extend(self.generation.to_be_bytes());
        bytes.extend(self.received.total().to_be_bytes());
        bytes.extend(codec::pack(&self.received));
        // HMAC accepts keys of any length, so signing does not fail. If it did, the text
        // would carry an invalid code and be refused by `open`.
        bytes.extend(keys.sign(&bytes).unwrap_or_default());
        codec::to_text(&bytes)
    }

    /// Digest of the post that the cursor belongs to.
    pub fn digest(&self) -> StepDigest {
        self.digest
    }

    /// Number of non-empty replies that the trainer has received.
    pub fn generation(&self) -> u32 {
        self.generation
    }

    /// Slots that the trainer has received.
    pub fn received(&self) -> &SlotSet {
        &self.received
    }

    /// This cursor with `positions` added to the received slots. The generation increases only
    /// if a slot was added.
    pub fn with_received(&self, positions: impl IntoIterator<Item = u32>) -> Self {
        let mut next = self.clone();
        let mut grown = false;
        for position in positions {
            grown |= next.received.insert(position);
        }
        next.generation += u32::from(grown);
        next
    }
}

fn verified_body(text: &str, keys: &CursorKeys) -> Result<Vec<u8>, CursorError> {
    if text.len() > TEXT_BYTES_MAX {
        return Err(CursorError::Damaged);
    }
    let mut bytes = codec::from_text(text).ok_or(CursorError::Damaged)?;
    let body = bytes.len().checked_sub(MAC_BYTES);
    let code = bytes.split_off(body.ok_or(CursorError::Damaged)?);
    if !keys.verify(&bytes, &code) {
        return Err(CursorError::Damaged);
    }
    Ok(bytes)
}

fn trainer_digest(key: &StepKey) -> [u8; TRAINER_DIGEST_BYTES] {
    let mut hash = Sha256::new();
    hash.update(key.customer.as_str());
    hash.update([0]);
    hash.update(key.service.as_str());
    let mut trainer = [0; TRAINER_DIGEST_BYTES];
    trainer.copy_from_slice(&hash.finalize()[..TRAINER_DIGEST_BYTES]);
    trainer
}

struct Fields {
    trainer: [u8; TRAINER_DIGEST_BYTES],
    step: u64,
    digest: StepDigest,
    generation: u32,
    received: SlotSet,
}

impl Fields {
    fn read(bytes: &[u8]) -> Result<Self, CursorError> {
        let rest = &mut &bytes[..];
        let [format] = read_array(rest)?;
        if format != FORMAT {
            return Err(CursorError::UnknownFormat(format));
        }
        let trainer = read_array(rest)?;
        let step = u64::from_be_bytes(read_array(rest)?);
        let digest = StepDigest(read_array(rest)?);
        let generation = u32::from_be_bytes(read_array(rest)?);
        let total = u32::from_be_bytes(read_array(rest)?);
        if total > SLOTS_MAX {
            return Err(CursorError::Damaged);
        }
        let received = codec::unpack(total, rest).ok_or(CursorError::Damaged)?;
        Ok(Self {
            trainer,
            step,
            digest,
            generation,
            received,
        })
    }
}

fn read_array<const N: usize>(bytes: &mut &[u8]) -> Result<[u8; N], CursorError> {
    let (part, rest) = bytes.split_first_chunk().ok_or(CursorError::Damaged)?;
    *bytes = rest;
    Ok(*part)
}
