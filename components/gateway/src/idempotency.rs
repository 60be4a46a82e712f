//! Whether a request may run more than once.

use config::{CallPattern, Service};

const ANY_METHOD: &str = "*";

/// The configuration decides by method and path. A caller can always say that a request
/// runs at most once; that it may run again, only where the configuration does not name
/// the call, and only for a path that every endpoint reads in the same way.
pub fn is_idempotent(service: &Service, method: &str, path: &str, stated: Option<bool>) -> bool {
    match stated {
        Some(false) => false,
        Some(true) => service.is_idempotent(method, path) || may_override(service, method, path),
        None => service.is_idempotent(method, path),
    }
}

fn may_override(service: &Service, method: &str, path: &str) -> bool {
    let path = path.split('?').next().unwrap_or_default();
    let plain = !path.contains(['%', ';', '\\']) && !path.contains("//") && !path.contains("/.");
    let named = |pattern: &CallPattern| has_prefix(pattern, method, path);
    plain && !service.non_idempotent.iter().any(named)
}

/// Whether a plain path begins like a pattern's; wider than the pattern itself, which
/// errs to the side of running once.
fn has_prefix(pattern: &CallPattern, method: &str, path: &str) -> bool {
    let method_fits = pattern.method == ANY_METHOD || pattern.method.eq_ignore_ascii_case(method);
    let start = path.as_bytes().get(..pattern.path.len());
    method_fits && start.is_some_and(|start| start.eq_ignore_ascii_case(pattern.path.as_bytes()))
}
