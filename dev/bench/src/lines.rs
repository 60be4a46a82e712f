//! Lines to try by hand at a site that was left running.

use std::net::SocketAddr;

use derive::value;

use crate::site::Site;

/// Where a running site is reached.
#[value]
pub struct Running {
    /// Public addresses of the entries.
    pub entries: Vec<SocketAddr>,
    /// Admin addresses.
    pub admins: Vec<SocketAddr>,
    /// Address of the log.
    pub logs: Vec<SocketAddr>,
    /// Where `hornbeamrockctl` is.
    pub ctl: String,
}

/// The lines.
pub fn text(site: &Site, running: &Running) -> String {
    let mut lines = vec!["# lines to try".to_owned()];
    if let Some(first) = running.entries.first() {
        let other = running.entries.last().unwrap_or(first);
        for act in &site.acts {
            lines.push(call(site, first, act));
            if act.once {
                lines.push(format!(
                    "{}   # again: not run again",
                    call(site, other, act)
                ));
            }
        }
        lines.push(completion(site, first));
    }
    for admin in &running.admins {
        lines.push(format!("curl -s http://{admin}/status"));
        lines.push(format!("{} status --admin {admin}", running.ctl));
    }
    for log in &running.logs {
        let customer = site.customer;
        let ctl = &running.ctl;
        lines.push(format!("{ctl} show --customer {customer} --log {log}"));
        lines.push(format!("{ctl} history --customer {customer} --log {log}"));
    }
    let mut text = lines.join("\n");
    text.push('\n');
    text
}

fn call(site: &Site, entry: &SocketAddr, act: &crate::site::Act) -> String {
    let key = if act.once {
        " -H 'Idempotency-Key: try-1'"
    } else {
        ""
    };
    format!(
        "curl -s -X {} -H 'Authorization: Bearer {}'{key} 'http://{entry}/v1/services/{}{}try-1{}'",
        act.method, act.token, site.desk, act.path, act.query
    )
}

fn completion(site: &Site, entry: &SocketAddr) -> String {
    format!(
        "curl -sN -H 'Authorization: Bearer {}' -d '{{\"model\":\"{}\",\"prompt\":\"{} 1\",\"max_tokens\":16,\"stream\":true}}' http://{entry}/v1/completions",
        site.model_token, site.model, site.prompt
    )
}
