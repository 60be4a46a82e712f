//! Request headers: the options that a caller states and the headers forwarded to the endpoint.

use http::header::{ACCEPT_ENCODING, AUTHORIZATION, CONTENT_LENGTH, HeaderMap};
use types::Class;

use crate::rejection::Rejection;

/// Header with the class of the request.
pub const CLASS: &str = "x-hornbeamrock-class";
/// Header with the time that the caller allows for the request, in milliseconds.
pub const DEADLINE_MS: &str = "x-hornbeamrock-deadline-ms";
/// Header that states whether the request may run more than once.
pub const IDEMPOTENT: &str = "x-hornbeamrock-idempotent";
/// Header that identifies a non-idempotent request, so that the caller can safely repeat it.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Header with the id of the request, used in answers and in the log lines of every process.
pub const REQUEST_ID: &str = "x-request-id";

/// Maximum deadline, in milliseconds.
pub const DEADLINE_MS_MAX: u32 = 600_000;
/// Maximum length of an idempotency key, in bytes.
pub const KEY_BYTES_MAX: usize = 128;
/// Maximum length of a request id that is accepted from the caller, in bytes.
pub const REQUEST_ID_BYTES_MAX: usize = 64;

const CLASS_ALLOWED: &str = "interactive, background or sampling";
const DEADLINE_ALLOWED: &str = "1 to 600000 milliseconds";
const IDEMPOTENT_ALLOWED: &str = "true or false";
const KEY_ALLOWED: &str = "1 to 128 visible ASCII characters";

/// Options that the caller states in headers; `None` where a header is missing.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestOptions {
    /// Class of the request.
    pub class: Option<Class>,
    /// Time allowed for the request, in milliseconds.
    pub deadline_ms: Option<u32>,
    /// Whether the request may run more than once.
    pub idempotent: Option<bool>,
    /// Idempotency key of the request.
    pub key: Option<String>,
}

impl RequestOptions {
    /// Parses the headers. Errors when a header has an invalid value or is given more than once.
    pub fn read(headers: &HeaderMap) -> Result<Self, Rejection> {
        Ok(Self {
            class: read(headers, CLASS, CLASS_ALLOWED, Class::parse)?,
            deadline_ms: read(headers, DEADLINE_MS, DEADLINE_ALLOWED, deadline)?,
            idempotent: read(headers, IDEMPOTENT, IDEMPOTENT_ALLOWED, flag)?,
            key: read(headers, IDEMPOTENCY_KEY, KEY_ALLOWED, key)?,
        })
    }
}

fn read<T>(
    headers: &HeaderMap,
    name: &'static str,
    allowed: &'static str,
    parse: impl FnOnce(&str) -> Option<T>,
) -> Result<Option<T>, Rejection> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    let bad = || Rejection::Header(name, allowed);
    if values.next().is_some() {
        return Err(bad());
    }
    let text = value.to_str().map_err(|_| bad())?;
    parse(text).map(Some).ok_or_else(bad)
}

fn deadline(text: &str) -> Option<u32> {
    let deadline_ms: u32 = text.parse().ok()?;
    (1..=DEADLINE_MS_MAX)
        .contains(&deadline_ms)
        .then_some(deadline_ms)
}

fn flag(text: &str) -> Option<bool> {
    text.parse().ok()
}

fn key(text: &str) -> Option<String> {
    let fits = (1..=KEY_BYTES_MAX).contains(&text.len());
    let visible = text.bytes().all(|byte| byte.is_ascii_graphic());
    (fits && visible).then(|| text.to_owned())
}

/// Returns the request id that the caller stated, if it is valid.
pub fn request_id(headers: &HeaderMap) -> Option<&str> {
    let id = headers.get(REQUEST_ID)?.to_str().ok()?;
    let fits = (1..=REQUEST_ID_BYTES_MAX).contains(&id.len());
    let plain = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.:".contains(&byte);
    (fits && id.bytes().all(plain)).then_some(id)
}

/// Returns the headers to forward to the endpoint. Removed are the token, the headers that only
/// the entry interprets, and the headers that the agent sets itself. `accept-encoding` is removed
/// too, because the entry must be able to read the answer. Errors when a value is not UTF-8.
pub fn endpoint_headers(
    headers: &HeaderMap,
    request_id: &str,
) -> Result<Vec<(String, String)>, Rejection> {
    let passed = adapters::end_to_end_headers(headers);
    let mut passed = passed.map_err(|_| Rejection::HeaderText)?;
    passed.retain(|(name, _)| !is_withheld(name));
    passed.push((REQUEST_ID.to_owned(), request_id.to_owned()));
    Ok(passed)
}

fn is_withheld(name: &str) -> bool {
    let own = [AUTHORIZATION, CONTENT_LENGTH, ACCEPT_ENCODING];
    own.iter().any(|header| header == name)
        || [CLASS, DEADLINE_MS, IDEMPOTENT, IDEMPOTENCY_KEY, REQUEST_ID].contains(&name)
}
