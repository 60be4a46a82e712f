//! The request's body as the engine gets it.

use bytes::Bytes;
use serde_json::Value;
use types::{CallId, Cause};

const REQUEST_ID: &str = "request_id";

/// Names the call in a completion's body, so that it can be cancelled by name.
///
/// The name is the call's own identity and not the request's: after a retry two calls of
/// one request may be on the same engine, and the late cancellation of the first must not
/// take the second with it. What the caller put there itself is replaced, or one customer
/// could have another's call cancelled.
pub fn name_call(body: &Bytes, id: CallId) -> Result<Bytes, Cause> {
    let mut document: Value = serde_json::from_slice(body).map_err(|_| Cause::Malformed)?;
    let Value::Object(fields) = &mut document else {
        return Err(Cause::Malformed);
    };
    fields.insert(REQUEST_ID.to_owned(), Value::String(id.to_string()));
    let named = serde_json::to_vec(&document).map_err(|_| Cause::Malformed)?;
    Ok(Bytes::from(named))
}
