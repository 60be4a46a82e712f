//! The members, and the events that change them.
//!
//! Messages about one address are ordered by incarnation. Within one incarnation, "leaving" is
//! permanent, whoever reports it. Messages may therefore arrive in any order and any number of
//! times without changing the resulting view.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use protocol::{ProcessRole, Status};
use types::{Incarnation, NodeId};

use crate::member::{Listing, Member};
use crate::{ListedVm, MemberSettings, OwnProcess, UpdateOutcome, VmListOutcome};

/// One process's view of all other processes.
#[derive(Clone, Debug)]
pub struct Members {
    pub(crate) settings: MemberSettings,
    pub(crate) own: OwnProcess,
    pub(crate) members: BTreeMap<SocketAddr, Member>,
    /// Earliest time for the first probe of the next member that has never answered.
    pub(crate) next_discovery_ms: u64,
    pub(crate) isolated: bool,
}

impl Members {
    /// Creates a view without members.
    pub fn new(own: OwnProcess, settings: MemberSettings) -> Self {
        Self {
            settings,
            next_discovery_ms: own.started_ms,
            own,
            members: BTreeMap::new(),
            isolated: false,
        }
    }

    /// This process. Its incarnation is raised when another process reports an incarnation of this
    /// address that is not lower.
    pub fn own(&self) -> &OwnProcess {
        &self.own
    }

    /// Settings of this view.
    pub fn settings(&self) -> &MemberSettings {
        &self.settings
    }

    /// Applies a successful read of the VM list. Failed reads must not be passed.
    pub fn on_list(&mut self, vms: &[ListedVm], now_ms: u64) -> VmListOutcome {
        let mut outcome = VmListOutcome::default();
        for member in self.members.values_mut() {
            member.absent_reads = member.absent_reads.saturating_add(1);
        }
        for vm in vms {
            if vm.address == self.own.node.address {
                outcome.own_leaving = self.is_own_vm_leaving(vm, now_ms);
            } else {
                self.apply_listed(vm, now_ms);
            }
        }
        self.remove_absent(now_ms);
        outcome.leaving = self.bind_leaving_listings(now_ms);
        outcome
    }

    /// Processes a datagram from `from`, which shows that the sender is alive.
    pub fn on_datagram(&mut self, from: NodeId, role: ProcessRole, now_ms: u64) -> UpdateOutcome {
        if from.address == self.own.node.address {
            return self.on_own_incarnation(from.incarnation);
        }
        let Some(member) = self.get_or_insert(from.address, role, now_ms) else {
            return UpdateOutcome::Unchanged;
        };
        match member.adopt_incarnation(from.incarnation, now_ms) {
            Err(stale) => stale,
            Ok(new) => {
                member.role = role;
                member.record_answer(now_ms);
                if new {
                    UpdateOutcome::Changed
                } else {
                    UpdateOutcome::Unchanged
                }
            }
        }
    }

    /// Applies a status, which also shows that the process is alive.
    pub fn on_status(
        &mut self,
        from: NodeId,
        role: ProcessRole,
        status: &Status,
        now_ms: u64,
    ) -> UpdateOutcome {
        let outcome = self.on_datagram(from, role, now_ms);
        if !matches!(outcome, UpdateOutcome::Changed | UpdateOutcome::Unchanged) {
            return outcome;
        }
        let Some(member) = self.members.get_mut(&from.address) else {
            return outcome;
        };
        let known_endpoint_life = member.status.as_ref().map(|(known, _)| known.endpoint_life);
        if known_endpoint_life.is_some_and(|known| status.endpoint_life < known) {
            return outcome;
        }
        member.apply_status(status, now_ms);
        if status.leaving && member.mark_leaving(now_ms) {
            return UpdateOutcome::Changed;
        }
        outcome
    }

    /// Processes a message, from any process, which states that this incarnation is leaving.
    pub fn on_leaving(&mut self, node: NodeId, now_ms: u64) -> UpdateOutcome {
        if node.address == self.own.node.address {
            return self.on_own_leaving(node.incarnation);
        }
        // The role is assumed to be agent until the process answers or is listed. Nothing depends
        // on the role before, because a leaving process accepts no work in either role.
        let Some(member) = self.get_or_insert(node.address, ProcessRole::Agent, now_ms) else {
            return UpdateOutcome::Unchanged;
        };
        match member.adopt_incarnation(node.incarnation, now_ms) {
            Err(stale) => stale,
            Ok(_) if member.mark_leaving(now_ms) => UpdateOutcome::Changed,
            Ok(_) => UpdateOutcome::Unchanged,
        }
    }

    /// Processes a message from a process that knows this incarnation at this process's own
    /// address.
    pub fn on_own_incarnation(&mut self, reported: Incarnation) -> UpdateOutcome {
        if self.own.raise_above(reported) {
            UpdateOutcome::OwnIncarnationRaised
        } else {
            UpdateOutcome::Unchanged
        }
    }

    /// Processes a message that an incarnation at this process's own address is leaving. A higher
    /// number belongs to an earlier incarnation whose clock was ahead. The same number is this
    /// incarnation: some process read in the VM list that it is leaving.
    fn on_own_leaving(&mut self, reported: Incarnation) -> UpdateOutcome {
        if reported == self.own.node.incarnation {
            return UpdateOutcome::OwnLeaving;
        }
        self.on_own_incarnation(reported)
    }

    fn is_own_vm_leaving(&self, vm: &ListedVm, now_ms: u64) -> bool {
        let uptime_ms = now_ms.saturating_sub(self.own.started_ms);
        vm.leaving && uptime_ms >= self.settings.list_lag_ms
    }

    fn apply_listed(&mut self, vm: &ListedVm, now_ms: u64) {
        let Some(member) = self.get_or_insert(vm.address, vm.role, now_ms) else {
            return;
        };
        let listing = if vm.leaving {
            Listing::Leaving
        } else {
            Listing::Live
        };
        let has_returned = member.listing != Some(listing) || member.absent_reads > 1;
        if has_returned && listing == Listing::Live {
            // A VM that returns to the list is probed at once instead of in the next sweep.
            member.next_probe_ms = member.next_probe_ms.min(now_ms);
        }
        member.listing = Some(listing);
        member.absent_reads = 0;
        member.absent_since_ms = None;
        member.role = vm.role;
        if member.location.is_none() {
            member.location = Some((vm.failure_domain.clone(), vm.region.clone()));
        }
    }

    fn bind_leaving_listings(&mut self, now_ms: u64) -> Vec<NodeId> {
        let mut leaving = Vec::new();
        for (&address, member) in &mut self.members {
            if !member.bind_leaving_listing(&self.settings, now_ms) {
                continue;
            }
            let incarnations = member.incarnation.into_iter();
            leaving.extend(incarnations.map(|incarnation| NodeId {
                address,
                incarnation,
            }));
        }
        leaving
    }

    /// Removes members that the VM list no longer contains, unless they answer: the list lags and
    /// may be wrong, an answer is not. Their last incarnation is remembered for a while; otherwise
    /// a delayed datagram would bring it or an earlier one back.
    fn remove_absent(&mut self, now_ms: u64) {
        let settings = self.settings;
        let answer_ms = 2 * settings.sweep_period_ms(self.members.len());
        self.members.retain(|_, member| {
            if member.absent_reads < settings.absent_reads_max {
                return true;
            }
            member.listing = None;
            let is_retained =
                |since_ms| now_ms.saturating_sub(since_ms) < settings.leaving_retention_ms;
            if let Some(since_ms) = member.leaving_since_ms {
                return is_retained(since_ms);
            }
            if member.answered_within(answer_ms, now_ms) {
                return true;
            }
            let absent_since_ms = *member.absent_since_ms.get_or_insert(now_ms);
            member.incarnation.is_some() && is_retained(absent_since_ms)
        });
    }

    /// The members without those of which only the incarnation is remembered.
    pub(crate) fn present(&self) -> impl Iterator<Item = (&SocketAddr, &Member)> {
        let members = self.members.iter();
        members.filter(|(_, member)| member.absent_since_ms.is_none())
    }

    fn get_or_insert(
        &mut self,
        address: SocketAddr,
        role: ProcessRole,
        now_ms: u64,
    ) -> Option<&mut Member> {
        let is_known = self.members.contains_key(&address);
        if !is_known && self.members.len() >= self.settings.members_max {
            return None;
        }
        if !is_known {
            let first_probe_ms = self.next_discovery_ms.max(now_ms);
            let discovery_interval_ms = 1_000 / self.settings.discoveries_per_s.max(1);
            self.next_discovery_ms = first_probe_ms + discovery_interval_ms;
            self.members
                .insert(address, Member::new(role, first_probe_ms));
        }
        self.members.get_mut(&address)
    }
}
