//! Headers: what a caller says of its request, and what goes on to the endpoint.

use http::header::{ACCEPT_ENCODING, AUTHORIZATION, CONTENT_LENGTH, HeaderMap};
use types::Class;

use crate::rejection::Rejection;

/// Class of the request.
pub const CLASS: &str = "x-hornbeamrock-class";
/// Time that the caller gives, in milliseconds.
pub const DEADLINE_MS: &str = "x-hornbeamrock-deadline-ms";
/// Whether the request may run more than once.
pub const IDEMPOTENT: &str = "x-hornbeamrock-idempotent";
/// Names a non-idempotent request, so that the caller can send it again.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Names the request in answers and in the log lines of every process.
pub const REQUEST_ID: &str = "x-request-id";

/// Longest deadline, in milliseconds.
pub const DEADLINE_MS_MAX: u32 = 600_000;
/// Longest idempotency key, in bytes.
pub const KEY_BYTES_MAX: usize = 128;
/// Longest request id that is taken from the caller, in bytes.
pub const REQUEST_ID_BYTES_MAX: usize = 64;

const CLASS_ALLOWED: &str = "interactive, background or sampling";
const DEADLINE_ALLOWED: &str = "1 to 600000 milliseconds";
const IDEMPOTENT_ALLOWED: &str = "true or false";
const KEY_ALLOWED: &str = "1 to 128 visible ASCII characters";

/// What the caller says of its request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Wishes {
    /// Its class, if stated.
    pub class: Option<Class>,
    /// Its time, if stated, in milliseconds.
    pub deadline_ms: Option<u32>,
    /// Whether it may run more than once, if stated.
    pub idempotent: Option<bool>,
    /// Its idempotency key, if it has one.
    pub key: Option<String>,
}

impl Wishes {
    /// Reads the headers. Errors when one of them has a value that is not allowed; a
    /// header that comes twice has none.
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

/// The caller's own request id, if it has a usable one.
pub fn request_id(headers: &HeaderMap) -> Option<&str> {
    let id = headers.get(REQUEST_ID)?.to_str().ok()?;
    let fits = (1..=REQUEST_ID_BYTES_MAX).contains(&id.len());
    let plain = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.:".contains(&byte);
    (fits && id.bytes().all(plain)).then_some(id)
}

/// Headers that go on to the endpoint. The token stays here, as do the headers that
/// speak to the system only and those that the agent states anew. An answer that the
/// system reads must not be compressed. Errors when a value is no text.
pub fn towards_endpoint(
    headers: &HeaderMap,
    request_id: &str,
) -> Result<Vec<(String, String)>, Rejection> {
    let passed = adapters::end_to_end_headers(headers);
    let mut passed = passed.map_err(|_| Rejection::HeaderText)?;
    passed.retain(|(name, _)| !stays(name));
    passed.push((REQUEST_ID.to_owned(), request_id.to_owned()));
    Ok(passed)
}

fn stays(name: &str) -> bool {
    let own = [AUTHORIZATION, CONTENT_LENGTH, ACCEPT_ENCODING];
    own.iter().any(|header| header == name)
        || [CLASS, DEADLINE_MS, IDEMPOTENT, IDEMPOTENCY_KEY, REQUEST_ID].contains(&name)
}
