//! Headers that belong to one connection and do not go further.

use http::header::{
    CONNECTION, EXPECT, HOST, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE, TRAILER,
    TRANSFER_ENCODING, UPGRADE,
};
use http::{HeaderMap, HeaderName};

use crate::error::{MalformedPart, PlatformError};

const KEEP_ALIVE: &str = "keep-alive";
const PROXY_CONNECTION: &str = "proxy-connection";

/// Whether a header is for one connection only, whatever `Connection` says.
pub(crate) fn is_hop_by_hop(name: &str) -> bool {
    let of_a_connection = [
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
    let known = of_a_connection.iter().map(http::HeaderName::as_str);
    known
        .chain([KEEP_ALIVE, PROXY_CONNECTION])
        .any(|other| other.eq_ignore_ascii_case(name))
}

/// Which headers of a message stay on its connection: the hop-by-hop ones, and those that
/// its `Connection` names.
pub fn hop_by_hop_predicate(headers: &HeaderMap) -> impl Fn(&HeaderName) -> bool + use<> {
    let named = named_by_connection(headers);
    move |name| {
        let name = name.as_str();
        is_hop_by_hop(name) || named.iter().any(|other| other == name)
    }
}

/// The headers of a message that go on to the next hop, names in lower case.
///
/// A value that is not UTF-8 is an error, since dropping it would change the message unseen.
pub fn end_to_end_headers(headers: &HeaderMap) -> Result<Vec<(String, String)>, PlatformError> {
    let stays = hop_by_hop_predicate(headers);
    let mut kept = Vec::with_capacity(headers.len());
    for (name, value) in headers {
        if stays(name) {
            continue;
        }
        let text = std::str::from_utf8(value.as_bytes())
            .map_err(|_| PlatformError::Malformed(MalformedPart::Header))?;
        kept.push((name.as_str().to_owned(), text.to_owned()));
    }
    Ok(kept)
}

fn named_by_connection(headers: &HeaderMap) -> Vec<String> {
    headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect()
}
