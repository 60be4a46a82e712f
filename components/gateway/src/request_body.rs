//! Reads request bodies within the byte budget and the time limit.

use std::sync::Arc;
use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Body;
use limits::retry_after_ms;
use types::{Cause, Class, Failure};

use crate::accounts::Account;
use crate::body_budget::{BodyBudget, BodyReservation, OverBudget};
use crate::rejection::Rejection;

/// Maximum size of a request body.
pub const BODY_BYTES_MAX: usize = 4 << 20;
/// Base of the randomised retry delay for a request whose body exceeds a budget, in milliseconds.
const RETRY_AFTER_BASE_MS: u64 = 500;

/// Body of a request as received from a caller.
pub trait RequestBody: Body<Error: Into<Box<dyn std::error::Error + Send + Sync>>> {}

impl<B> RequestBody for B where B: Body<Error: Into<Box<dyn std::error::Error + Send + Sync>>> {}

/// Limits that apply to a request's body.
pub struct BodyLimits {
    /// Account of the customer; `None` if the configuration changed after the last refresh.
    pub account: Option<Arc<Account>>,
    /// Byte budget of the process.
    pub budget: Arc<BodyBudget>,
}

/// A complete body together with its reservation.
struct ReservedBytes {
    bytes: Bytes,
    _reserved: BodyReservation,
}

impl AsRef<[u8]> for ReservedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl BodyLimits {
    /// Reads a complete body within `wait`. The request counts towards the customer's limit while
    /// the body is read. The bytes stay reserved until the last reference to them is dropped.
    pub async fn read<B>(&self, body: B, class: Class, wait: Duration) -> Result<Bytes, Rejection>
    where
        B: RequestBody,
    {
        if body.is_end_stream() {
            return Ok(Bytes::new());
        }
        let unknown = Failure::not_run(Cause::NoEndpoint);
        let account = self.account.as_ref().ok_or(unknown)?;
        let _arriving = account.customer.admit_pending_body(class, rand::random())?;
        let stated = body.size_hint().exact().unwrap_or_default();
        let stated = usize::try_from(stated).unwrap_or(usize::MAX);
        if stated > BODY_BYTES_MAX {
            return Err(Rejection::TooLarge(BODY_BYTES_MAX));
        }
        let reserved = self.budget.reserve(&account.body_use, stated);
        let read = read_body(body, reserved.map_err(over_budget)?);
        let late = Failure::not_run(Cause::DeadlinePassed);
        tokio::time::timeout(wait, read).await.map_err(|_| late)?
    }
}

async fn read_body<B>(body: B, mut reserved: BodyReservation) -> Result<Bytes, Rejection>
where
    B: RequestBody,
{
    let mut body = std::pin::pin!(body);
    let mut bytes = BytesMut::with_capacity(reserved.bytes());
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| Rejection::BodyInterrupted)?;
        let Ok(mut data) = frame.into_data() else {
            continue;
        };
        let length = bytes.len() + data.remaining();
        if length > BODY_BYTES_MAX {
            return Err(Rejection::TooLarge(BODY_BYTES_MAX));
        }
        let more = length.saturating_sub(reserved.bytes());
        reserved.grow(more).map_err(over_budget)?;
        while data.has_remaining() {
            let part = data.chunk();
            bytes.extend_from_slice(part);
            let copied = part.len();
            data.advance(copied);
        }
    }
    Ok(Bytes::from_owner(ReservedBytes {
        bytes: bytes.freeze(),
        _reserved: reserved,
    }))
}

fn over_budget(over: OverBudget) -> Failure {
    let retry_after_ms = retry_after_ms(RETRY_AFTER_BASE_MS, rand::random());
    over.failure().retry_after(retry_after_ms)
}
