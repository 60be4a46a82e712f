//! Authentication of what goes over the wire: HMAC-SHA256, cut to 16 bytes.
//!
//! A greeting and a datagram are signed with a shared key, a frame with the key of its
//! connection. What is signed always begins with a byte that says what it is and in which
//! direction it goes, so that nothing signed for one purpose passes for another.

use hmac::{Hmac, Mac};
use sha2::Sha256;

use crate::{CodecError, Key};

/// Bytes of the authentication code behind every frame and datagram.
pub const TAG_BYTES: usize = 16;
/// Bytes of a nonce.
pub const NONCE_BYTES: usize = 16;

/// Random number of one side of a connection.
pub type Nonce = [u8; NONCE_BYTES];
pub(crate) type Tag = [u8; TAG_BYTES];

const SESSION_LABEL: &[u8] = b"hornbeamrock session";

/// Which side of a connection sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// From the process that connected.
    FromCaller,
    /// From the process that was connected to.
    FromCallee,
}

impl Direction {
    /// The direction of the answers.
    pub fn reversed(self) -> Direction {
        match self {
            Direction::FromCaller => Direction::FromCallee,
            Direction::FromCallee => Direction::FromCaller,
        }
    }
}

/// What a code stands behind.
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

/// Makes and checks codes with one key. Keyed once, so that a frame costs no key schedule.
#[derive(Clone)]
pub(crate) struct Authenticator(Hmac<Sha256>);

impl Authenticator {
    pub(crate) fn shared(key: &Key) -> Self {
        Self::keyed(key.secret())
    }

    /// The authenticator of one connection. Both nonces go in, so that neither side can
    /// be led to accept the frames of another connection.
    pub(crate) fn session(key: &Key, caller: &Nonce, callee: &Nonce) -> Self {
        let mut mac = Self::shared(key).0;
        mac.update(SESSION_LABEL);
        mac.update(caller);
        mac.update(callee);
        Self::keyed(&mac.finalize().into_bytes().into())
    }

    fn keyed(secret: &[u8; 32]) -> Self {
        // A key as long as the hash's block or shorter is used as it is.
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

    /// Compares in constant time.
    pub(crate) fn check(
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
