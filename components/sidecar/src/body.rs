//! The request's body as the engine gets it.

use bytes::Bytes;
use serde_json::Value;
use types::{CallId, Cause};

const MODEL: &str = "model";
const REQUEST_ID: &str = "request_id";

/// Names the model and the call in a completion's body, whatever its caller wrote there.
///
/// The model is that of the service that the call was admitted for: an engine may host several
/// services, and a caller who is let in to one could otherwise have another answer. The
/// request's id is the call's own identity, so that it can be cancelled by name: after a
/// retry two calls of one request may be on the same engine, and the late cancellation of
/// the first must not take the second with it, nor one customer cancel another's call.
pub fn set_model_and_call_id(body: &Bytes, model: &str, id: CallId) -> Result<Bytes, Cause> {
    let mut document: Value = serde_json::from_slice(body).map_err(|_| Cause::Malformed)?;
    let Value::Object(fields) = &mut document else {
        return Err(Cause::Malformed);
    };
    fields.insert(MODEL.to_owned(), Value::String(model.to_owned()));
    fields.insert(REQUEST_ID.to_owned(), Value::String(id.to_string()));
    let named = serde_json::to_vec(&document).map_err(|_| Cause::Malformed)?;
    Ok(Bytes::from(named))
}
