//! Shell commands to try by hand against a site that was left running.

use std::net::SocketAddr;

use derive::value;

use crate::site::Site;

/// Addresses of a running site.
#[value]
pub struct SiteAddresses {
    /// Public addresses of the entries.
    pub entries: Vec<SocketAddr>,
    /// Admin addresses of the processes.
    pub admins: Vec<SocketAddr>,
    /// Addresses of the log.
    pub logs: Vec<SocketAddr>,
    /// Path of the program `hornbeamrockctl`.
    pub ctl: String,
}

/// The commands, a line each: the calls of the site, then status and configuration.
pub fn commands(site: &Site, addresses: &SiteAddresses) -> String {
    let mut lines = vec!["# lines to try".to_owned()];
    if let Some(first) = addresses.entries.first() {
        let last = addresses.entries.last().unwrap_or(first);
        for kind in &site.call_kinds {
            lines.push(call(site, first, kind));
            if kind.at_most_once {
                lines.push(format!(
                    "{}   # repeated: not run a second time",
                    call(site, last, kind)
                ));
            }
        }
        lines.push(completion(site, first));
    }
    for admin in &addresses.admins {
        lines.push(format!("curl -s http://{admin}/status"));
        lines.push(format!("{} status --admin {admin}", addresses.ctl));
    }
    for log in &addresses.logs {
        let customer = site.customer;
        let ctl = &addresses.ctl;
        lines.push(format!("{ctl} show --customer {customer} --log {log}"));
        lines.push(format!("{ctl} history --customer {customer} --log {log}"));
    }
    let mut text = lines.join("\n");
    text.push('\n');
    text
}

fn call(site: &Site, entry: &SocketAddr, kind: &crate::site::CallKind) -> String {
    let key = if kind.at_most_once {
        " -H 'Idempotency-Key: try-1'"
    } else {
        ""
    };
    format!(
        "curl -s -X {} -H 'Authorization: Bearer {}'{key} 'http://{entry}/v1/services/{}{}try-1{}'",
        kind.method, kind.token, site.plain_service, kind.path, kind.query
    )
}

fn completion(site: &Site, entry: &SocketAddr) -> String {
    format!(
        "curl -sN -H 'Authorization: Bearer {}' -d '{{\"model\":\"{}\",\"prompt\":\"{} 1\",\"max_tokens\":16,\"stream\":true}}' http://{entry}/v1/completions",
        site.model_token, site.model, site.prompt
    )
}
