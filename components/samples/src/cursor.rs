//! The trainer's cursor: which slots of a step it has received, as an opaque text.
//!
//! The cursor is the delivery ledger. It lives in the trainer's checkpoint, so it
//! survives the loss of every VM and any outage of the log; whoever holds the step can
//! tell from it what is still owed. It is authenticated, because a damaged one would
//! otherwise lose or double samples unseen.
//!
//! Weighed against a ledger in the log (see `fetch_log`): the cursor costs no append
//! and waits for nothing; it asks of the trainer to store a text of at most about
//! 760 bytes beside its own state and to send it back.

use derive::value;
use hmac::{Hmac, Mac};
use quick_error::quick_error;
use sha2::{Digest, Sha256};

use crate::codec;
use crate::slots::{SLOTS_MAX, SlotSet};
use crate::step::{Step, StepDigest, StepKey};

/// Bytes of a key.
const KEY_BYTES: usize = 32;
const FORMAT: u8 = 1;
const MAC_BYTES: usize = 16;
/// Keeps a code made with the same key for another purpose from passing here.
const MAC_PURPOSE: &[u8] = b"hornbeamrock cursor";
const TRAINER_DIGEST_BYTES: usize = 8;
const TEXT_BYTES_MAX: usize = 1_024;

quick_error! {
    /// Why a text is not a cursor for this step.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum CursorError {
        /// Not a cursor, changed on the way, or signed with a key that is no longer accepted.
        Damaged {
            display("the cursor is damaged, or its key is no longer accepted")
        }
        /// Written in a form that this build does not know.
        UnknownFormat(format: u8) {
            display("the cursor has form {}, this build reads form {}", format, FORMAT)
        }
        /// Of another customer or model.
        OtherTrainer {
            display("the cursor belongs to another trainer")
        }
        /// Of another step of the same trainer.
        OtherStep(step: u64) {
            display("the cursor belongs to step {}", step)
        }
        /// Of a step with the same number that asked for something else.
        OtherPost {
            display("the step was posted with another content than the cursor's")
        }
    }
}

/// Keys that authenticate cursors; the first signs, each is accepted.
#[derive(Clone)]
pub struct CursorKeys {
    signing: [u8; KEY_BYTES],
    also_accepted: Option<[u8; KEY_BYTES]>,
}

impl CursorKeys {
    /// `also` is accepted while keys are being changed.
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

/// What a trainer has received of a step.
#[value]
pub struct Cursor {
    key: StepKey,
    digest: StepDigest,
    generation: u32,
    received: SlotSet,
}

impl Cursor {
    /// Nothing received.
    pub fn start(step: &Step) -> Self {
        Self {
            key: step.key.clone(),
            digest: step.digest(),
            generation: 0,
            received: SlotSet::new(step.total()),
        }
    }

    /// Reads and checks the text of a cursor for `step`.
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

    /// The cursor as text.
    pub fn seal(&self, keys: &CursorKeys) -> String {
        let mut bytes = vec![FORMAT];
        bytes.extend(trainer_digest(&self.key));
        bytes.extend(self.key.step.to_be_bytes());
        bytes.extend(self.digest.0);
        bytes.extend(self.generation.to_be_bytes());
        bytes.extend(self.received.total().to_be_bytes());
        bytes.extend(codec::pack(&self.received));
        // HMAC takes a key of any length, so there is always a code; without one the
        // text would be refused when it comes back, never believed.
        bytes.extend(keys.sign(&bytes).unwrap_or_default());
        codec::to_text(&bytes)
    }

    /// Digest of the post that it belongs to.
    pub fn digest(&self) -> StepDigest {
        self.digest
    }

    /// Replies that the trainer has taken since the start.
    pub fn generation(&self) -> u32 {
        self.generation
    }

    /// Slots that the trainer has.
    pub fn received(&self) -> &SlotSet {
        &self.received
    }

    /// The cursor of a trainer that also takes `places`; the same when there are none.
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
