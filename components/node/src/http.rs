//! Helpers for HTTP bodies and responses that entries and agents share.

use bytes::Bytes;
use http::header::CONTENT_TYPE;
use http::{HeaderValue, Response, StatusCode};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Body;

use crate::BodyError;

/// Reads a complete body of at most `bytes_max` bytes.
pub async fn read_body<B>(body: B, bytes_max: usize) -> Result<Bytes, BodyError>
where
    B: Body,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    match Limited::new(body, bytes_max).collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(reason) if reason.is::<LengthLimitError>() => Err(BodyError::TooLarge(bytes_max)),
        Err(_) => Err(BodyError::Interrupted),
    }
}

/// Builds a response with a body in memory.
pub fn response(
    status: StatusCode,
    content_type: &'static str,
    body: impl Into<Bytes>,
) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = status;
    let content_type = HeaderValue::from_static(content_type);
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}
