//! Configuration texts: that of the site's owner, taken from the examples with other limits, and
//! generated ones of neighbours, which are further customers that call the owner's services.

use derive::value;
use sha2::{Digest, Sha256};

use crate::error::BenchError;
use crate::site::Site;

/// Limits of a customer, as a configuration text states them.
#[value]
#[derive(Copy)]
pub struct Limits {
    /// Requests per second.
    pub requests_per_s: u32,
    /// Requests in progress at a time.
    pub in_progress: u32,
    /// Tokens per second.
    pub tokens_per_s: u32,
}

impl Limits {
    /// The highest limits that a text may state, which no load of this tool reaches.
    pub const UNLIMITED: Limits = Limits {
        requests_per_s: 100_000,
        in_progress: 100_000,
        tokens_per_s: 100_000_000,
    };
}

/// Parses the limits that a text states.
pub fn parse_limits(source: &str) -> Result<Limits, BenchError> {
    let text = config::parse(source, "text").map_err(BenchError::ConfigText)?;
    Ok(Limits {
        requests_per_s: text.limits.requests_per_s,
        in_progress: text.limits.in_progress,
        tokens_per_s: text.limits.tokens_per_s,
    })
}

/// Customer name of a neighbour.
pub fn neighbour_name(number: usize) -> String {
    format!("n{number:04}")
}

/// Bearer token of a neighbour's callers.
pub fn neighbour_token(number: usize) -> String {
    format!("{}.example", neighbour_name(number))
}

/// The text of the site's owner with these limits, which shares model and plain service with the
/// first `neighbours` neighbours.
pub fn owner_text(source: &str, site: &Site, neighbours: usize, limits: Limits) -> String {
    let mut lines: Vec<String> = Vec::new();
    for line in source.lines() {
        lines.push(replace_limit(line, limits));
        let pool = line
            .strip_prefix("pool = ")
            .map(|pool| pool.trim_matches('"'));
        let is_shared = pool.is_some_and(|pool| pool == site.model || pool == site.plain_service);
        if is_shared && neighbours > 0 {
            lines.push(format!("shared_with = [{}]", neighbour_names(neighbours)));
        }
    }
    lines.join("\n") + "\n"
}

/// Replaces the value if the line states a limit.
fn replace_limit(line: &str, limits: Limits) -> String {
    match line.split_once(" = ") {
        Some(("requests_per_s", _)) => format!("requests_per_s = {}", limits.requests_per_s),
        Some(("in_progress", _)) => format!("in_progress = {}", limits.in_progress),
        Some(("tokens_per_s", _)) => format!("tokens_per_s = {}", limits.tokens_per_s),
        _ => line.to_owned(),
    }
}

fn neighbour_names(neighbours: usize) -> String {
    let names = (0..neighbours).map(|number| format!("\"{}\"", neighbour_name(number)));
    names.collect::<Vec<_>>().join(", ")
}

/// The text of a neighbour with a token for the owner's model and plain service.
pub fn neighbour_text(number: usize, site: &Site, limits: Limits) -> String {
    let digest = Sha256::digest(neighbour_token(number));
    let digits: String = digest.iter().map(|byte| format!("{byte:02x}")).collect();
    let (owner, service, model) = (site.customer, site.plain_service, site.model);
    format!(
        "schema = 1\ncustomer = \"{}\"\n\n[limits]\nweight = 1\nrequests_per_s = {}\n\
         in_progress = {}\ntokens_per_s = {}\n\n[[service]]\nname = \"desk\"\nkind = \"plain\"\n\
         depends_on = [\"{owner}.{service}\", \"{owner}.{model}\"]\n\n[[token]]\nname = \"caller\"\n\
         role = \"caller\"\nservices = [\"{owner}.{service}\", \"{owner}.{model}\"]\n\
         sha256 = \"{digits}\"\n",
        neighbour_name(number),
        limits.requests_per_s,
        limits.in_progress,
        limits.tokens_per_s,
    )
}
