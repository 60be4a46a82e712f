//! The request body that is sent to the engine.

use bytes::Bytes;
use serde_json::Value;
use types::{CallId, Cause};

const MODEL: &str = "model";
const REQUEST_ID: &str = "request_id";

/// Sets the model and the request id in a completion's body and overwrites the caller's values.
///
/// The model is that of the service for which the call was admitted: an engine may host several
/// services, and the field would otherwise let a caller of one service reach the model of another.
/// The request id is the call's own id, which makes the call cancellable: after a retry, two calls
/// of one request may run on the same engine, and a late cancellation of the first must not cancel
/// the second, nor may one customer cancel another's call.
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
