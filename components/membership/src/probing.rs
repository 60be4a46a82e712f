//! Schedules an entry's probes and evaluates missing answers.
//!
//! Members in the subset of some service are watched: probed once per second, or less often if the
//! subsets together exceed `probes_per_s`. All other members are probed in a slow sweep, only to
//! learn what they host. Agents send no probes.

use std::net::SocketAddr;

use protocol::ProcessRole;
use types::rendezvous;

use crate::{Liveness, Members};

const STAGGER_KEY: &[u8] = b"stagger";

impl Members {
    /// Returns the members to probe now. Also counts missed answers, so it has to be called at
    /// least once per `probe_timeout_ms`.
    pub fn due_probes(&mut self, now_ms: u64) -> Vec<SocketAddr> {
        if self.own.role == ProcessRole::Agent {
            return Vec::new();
        }
        let watched = self
            .members
            .values()
            .filter(|member| member.watched)
            .count();
        let probe_period_ms = self.settings.probe_period_ms(watched);
        let sweep_period_ms = self.settings.sweep_period_ms(self.members.len() - watched);
        let mut due = Vec::new();
        for (&address, member) in &mut self.members {
            if member.absent_since_ms.is_some() {
                continue;
            }
            member.check_probe_timeout(&self.settings, now_ms);
            if member.probe_sent_ms.is_some() || now_ms < member.next_probe_ms {
                continue;
            }
            let is_first_probe = member.last_heard_ms.is_none();
            let wait_ms = match (member.watched, is_first_probe) {
                (true, _) => probe_period_ms,
                (false, true) => rendezvous::weight(STAGGER_KEY, address) % sweep_period_ms,
                (false, false) => sweep_period_ms,
            };
            member.next_probe_ms = now_ms + wait_ms.max(self.settings.probe_interval_ms);
            member.probe_sent_ms = Some(now_ms);
            due.push(address);
        }
        self.isolated = self.has_lost_most();
        due
    }

    /// Whether most watched endpoints stopped answering at the same time.
    ///
    /// A process whose own network is interrupted sees all members fail together. If it dropped
    /// them all, it would refuse every request with "no endpoint" until long after the network has
    /// recovered. It keeps them as suspects instead; calls to a dead one fail before they are sent.
    /// Endpoints that stopped answering one after another are not counted.
    fn has_lost_most(&self) -> bool {
        let settings = &self.settings;
        let watched = || {
            let members = self.members.values();
            members.filter(|member| {
                member.watched && member.role == ProcessRole::Agent && !member.is_leaving()
            })
        };
        let lost = || watched().filter_map(|member| member.down_since_ms);
        let Some(newest_ms) = lost().max() else {
            return false;
        };
        let oldest_ms = newest_ms.saturating_sub(settings.isolation_window_ms);
        let lost_at_once = lost().filter(|&since_ms| since_ms >= oldest_ms).count();
        let watched_count = watched().count();
        watched_count >= settings.isolation_members_min && lost_at_once * 2 > watched_count
    }

    /// Liveness as the request path sees it: while this process doubts its own network, watched
    /// members that are down count as suspects.
    pub(crate) fn effective_liveness(&self, member: &crate::member::Member) -> Liveness {
        match member.liveness(&self.settings) {
            Liveness::Down if self.isolated && member.watched => Liveness::Suspect,
            liveness => liveness,
        }
    }
}
