//! Hop-by-hop headers, which are valid for one connection only.

use http::header::{
    CONNECTION, EXPECT, HOST, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE, TRAILER,
    TRANSFER_ENCODING, UPGRADE,
};
use http::{HeaderMap, HeaderName};

use crate::error::{MalformedPart, PlatformError};

const KEEP_ALIVE: &str = "keep-alive";
const PROXY_CONNECTION: &str = "proxy-connection";

/// Whether a header is always hop-by-hop, independent of the `Connection` header.
pub(crate) fn is_hop_by_hop(name: &str) -> bool {
    let always_hop_by_hop = [
        CONNECTION,
        EXPECT,
        HOST,
        PROXY_AUTHENTICATE,
        PROXY_AUTHORIZATION,
        TE,
        TRAILER,
        TRANSFER_ENCODING,
        UPGRADE,
    ];
    let names = always_hop_by_hop.iter().map(http::HeaderName::as_str);
    names
        .chain([KEEP_ALIVE, PROXY_CONNECTION])
        .any(|other| other.eq_ignore_ascii_case(name))
}

/// Returns a predicate for the hop-by-hop headers of a message, including those that its
/// `Connection` header names.
pub fn hop_by_hop_predicate(headers: &HeaderMap) -> impl Fn(&HeaderName) -> bool + use<> {
    let options = connection_options(headers);
    move |name| {
        let name = name.as_str();
        is_hop_by_hop(name) || options.iter().any(|other| other == name)
    }
}

/// Returns the headers of a message that are forwarded to the next hop, names in lower case.
///
/// A value that is not UTF-8 is an error, since dropping it would silently change the message.
pub fn end_to_end_headers(headers: &HeaderMap) -> Result<Vec<(String, String)>, PlatformError> {
    let is_hop_by_hop = hop_by_hop_predicate(headers);
    let mut forwarded = Vec::with_capacity(headers.len());
    for (name, value) in headers {
        if is_hop_by_hop(name) {
            continue;
        }
        let text = std::str::from_utf8(value.as_bytes())
            .map_err(|_| PlatformError::Malformed(MalformedPart::Header))?;
        forwarded.push((name.as_str().to_owned(), text.to_owned()));
    }
    Ok(forwarded)
}

fn connection_options(headers: &HeaderMap) -> Vec<String> {
    headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect()
}
