//! Decides whether a request may run more than once.

use config::{CallPattern, Service};

const ANY_METHOD: &str = "*";

/// Decides by method and path according to the configuration. A caller can always request at most
/// one run. A caller can declare a call idempotent only if the configuration does not list it as
/// non-idempotent and the path has one interpretation for every endpoint (no percent-encoding, dot
/// segments or similar).
pub fn is_idempotent(service: &Service, method: &str, path: &str, stated: Option<bool>) -> bool {
    match stated {
        Some(false) => false,
        Some(true) => service.is_idempotent(method, path) || may_override(service, method, path),
        None => service.is_idempotent(method, path),
    }
}

fn may_override(service: &Service, method: &str, path: &str) -> bool {
    let path = path.split('?').next().unwrap_or_default();
    let is_plain = !path.contains(['%', ';', '\\']) && !path.contains("//") && !path.contains("/.");
    let is_listed = |pattern: &CallPattern| has_prefix(pattern, method, path);
    is_plain && !service.non_idempotent.iter().any(is_listed)
}

/// Returns whether a path starts with the pattern's path, ignoring case. Matches more paths than
/// the pattern itself; a false match only means that the call runs at most once.
fn has_prefix(pattern: &CallPattern, method: &str, path: &str) -> bool {
    let method_fits = pattern.method == ANY_METHOD || pattern.method.eq_ignore_ascii_case(method);
    let start = path.as_bytes().get(..pattern.path.len());
    method_fits && start.is_some_and(|start| start.eq_ignore_ascii_case(pattern.path.as_bytes()))
}
