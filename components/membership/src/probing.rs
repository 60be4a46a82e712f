//! Which members an entry probes and when, and what their silence means.
//!
//! Members of some service's subset are watched: probed once a second, or less often
//! when the subsets together pass `probes_per_s`. All others are swept slowly, only to
//! learn what they host. Agents probe nobody.

use std::net::SocketAddr;

use protocol::ProcessRole;
use types::rendezvous;

use crate::{Liveness, Members};

const STAGGER_KEY: &[u8] = b"stagger";

impl Members {
    /// Whom to probe now. Missed answers are counted here, so ask often enough: at least
    /// each `probe_timeout_ms`.
    pub fn due_probes(&mut self, now_ms: u64) -> Vec<SocketAddr> {
        if self.own.role == ProcessRole::Agent {
            return Vec::new();
        }
        let watched = self.members.values().filter(|m| m.watched).count();
        let period_ms = self.settings.probe_period_ms(watched);
        let sweep_ms = self.settings.sweep_period_ms(self.members.len() - watched);
        let mut due = Vec::new();
        for (&address, member) in &mut self.members {
            if member.absent_since_ms.is_some() {
                continue;
            }
            member.check_probe_timeout(&self.settings, now_ms);
            if member.probe_sent_ms.is_some() || now_ms < member.next_probe_ms {
                continue;
            }
            let first = member.last_heard_ms.is_none();
            let wait_ms = match (member.watched, first) {
                (true, _) => period_ms,
                (false, true) => rendezvous::weight(STAGGER_KEY, address) % sweep_ms,
                (false, false) => sweep_ms,
            };
            member.next_probe_ms = now_ms + wait_ms.max(self.settings.probe_interval_ms);
            member.probe_sent_ms = Some(now_ms);
            due.push(address);
        }
        self.isolated = self.has_lost_most();
        due
    }

    /// Whether most watched endpoints were lost at once.
    ///
    /// A process whose own network is cut sees everybody die together. If it dropped
    /// them all, it would refuse every request with "no endpoint" until long after the
    /// network is back. It keeps them as suspects instead; calls to a dead one fail
    /// before they leave. Endpoints that went one after another are not counted.
    fn has_lost_most(&self) -> bool {
        let settings = &self.settings;
        let watched = || {
            let members = self.members.values();
            members.filter(|m| m.watched && m.role == ProcessRole::Agent && !m.is_leaving())
        };
        let lost = || watched().filter_map(|member| member.down_since_ms);
        let Some(newest_ms) = lost().max() else {
            return false;
        };
        let oldest_ms = newest_ms.saturating_sub(settings.isolation_window_ms);
        let at_once = lost().filter(|&since_ms| since_ms >= oldest_ms).count();
        let all = watched().count();
        all >= settings.isolation_members_min && at_once * 2 > all
    }

    /// Standing as the request path sees it.
    pub(crate) fn effective_liveness(&self, member: &crate::member::Member) -> Liveness {
        match member.liveness(&self.settings) {
            Liveness::Down if self.isolated && member.watched => Liveness::Suspect,
            standing => standing,
        }
    }
}
