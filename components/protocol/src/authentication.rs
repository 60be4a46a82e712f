//! Message authentication: HMAC-SHA256, truncated to 16 bytes.
//!
//! Hello frames and datagrams are signed with a shared key, all other frames with the key of
//! their connection. The signed bytes always begin with a byte for the purpose and direction of
//! the message, so that a code for one purpose is not valid for another.

use hmac::{Hmac, Mac};
use sha2::Sha256;

use crate::{CodecError, Key};

/// Length in bytes of the authentication code at the end of every frame and datagram.
pub const TAG_BYTES: usize = 16;
/// Length of a nonce in bytes.
pub const NONCE_BYTES: usize = 16;

/// Random number that one side generates for a connection.
pub type Nonce = [u8; NONCE_BYTES];
pub(crate) type Tag = [u8; TAG_BYTES];

const SESSION_LABEL: &[u8] = b"hornbeamrock session";

/// Direction of a connection, given by its sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// From the process that connected.
    FromCaller,
    /// From the process that accepted the connection.
    FromCallee,
}

impl Direction {
    /// Returns the opposite direction.
    pub fn reversed(self) -> Direction {
        match self {
            Direction::FromCaller => Direction::FromCallee,
            Direction::FromCallee => Direction::FromCaller,
        }
    }
}

/// Kind of a signed message.
#[derive(Clone, Copy)]
pub(crate) enum Purpose {
    Hello(Direction),
    Frame(Direction),
    Datagram,
}

impl Purpose {
    fn label(self) -> u8 {
        match self {
            Purpose::Hello(Direction::FromCaller) => 1,
            Purpose::Hello(Direction::FromCallee) => 2,
            Purpose::Frame(Direction::FromCaller) => 3,
            Purpose::Frame(Direction::FromCallee) => 4,
            Purpose::Datagram => 5,
        }
    }
}

/// Computes and verifies authentication codes with one key. The key schedule is computed once
/// and not for each frame.
#[derive(Clone)]
pub(crate) struct Authenticator(Hmac<Sha256>);

impl Authenticator {
    pub(crate) fn with_shared_key(key: &Key) -> Self {
        Self::with_secret(key.secret())
    }

    /// Creates the authenticator of one connection. Its key is derived from both nonces, so that
    /// neither side accepts recorded frames of another connection.
    pub(crate) fn with_session_key(key: &Key, caller: &Nonce, callee: &Nonce) -> Self {
        let mut mac = Self::with_shared_key(key).0;
        mac.update(SESSION_LABEL);
        mac.update(caller);
        mac.update(callee);
        Self::with_secret(&mac.finalize().into_bytes().into())
    }

    fn with_secret(secret: &[u8; 32]) -> Self {
        // HMAC pads a key that is shorter than the block of the hash with zeros.
        let mut block = [0; 64];
        block[..secret.len()].copy_from_slice(secret);
        Self(Mac::new(&block.into()))
    }

    pub(crate) fn sign(&self, purpose: Purpose, context: &[u8], payload: &[u8]) -> Tag {
        let whole = self.mac(purpose, context, payload).finalize().into_bytes();
        let mut tag = [0; TAG_BYTES];
        tag.copy_from_slice(&whole[..TAG_BYTES]);
        tag
    }

    /// Compares the code in constant time.
    pub(crate) fn verify(
        &self,
        purpose: Purpose,
        context: &[u8],
        payload: &[u8],
        tag: &[u8],
    ) -> Result<(), CodecError> {
        if tag.len() != TAG_BYTES {
            return Err(CodecError::Unauthentic);
        }
        self.mac(purpose, context, payload)
            .verify_truncated_left(tag)
            .map_err(|_| CodecError::Unauthentic)
    }

    fn mac(&self, purpose: Purpose, context: &[u8], payload: &[u8]) -> Hmac<Sha256> {
        let mut mac = self.0.clone();
        mac.update(&[purpose.label()]);
        mac.update(context);
        mac.update(payload);
        mac
    }
}
