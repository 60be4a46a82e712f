//! The members and the news that change them.
//!
//! News about one address is ordered by incarnation. Within one life "leaving" is
//! sticky, whoever says it, so that news may come in any order and any number of times
//! and the view is the same.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use protocol::{ProcessRole, Status};
use types::{Incarnation, NodeId};

use crate::member::{Listing, Member};
use crate::{ListedVm, MemberSettings, OwnProcess, UpdateOutcome, VmListOutcome};

/// One process's view of all others.
#[derive(Clone, Debug)]
pub struct Members {
    pub(crate) settings: MemberSettings,
    pub(crate) own: OwnProcess,
    pub(crate) members: BTreeMap<SocketAddr, Member>,
    /// When the next never-heard member is probed first.
    pub(crate) next_discovery_ms: u64,
    pub(crate) isolated: bool,
}

impl Members {
    /// A view of nobody.
    pub fn new(own: OwnProcess, settings: MemberSettings) -> Self {
        Self {
            settings,
            next_discovery_ms: own.started_ms,
            own,
            members: BTreeMap::new(),
            isolated: false,
        }
    }

    /// This process; its incarnation rises when an earlier life is heard of.
    pub fn own(&self) -> &OwnProcess {
        &self.own
    }

    /// Settings of the view.
    pub fn settings(&self) -> &MemberSettings {
        &self.settings
    }

    /// Takes in one read of the VM list. A failed read is no event.
    pub fn on_list(&mut self, vms: &[ListedVm], now_ms: u64) -> VmListOutcome {
        let mut read = VmListOutcome::default();
        for member in self.members.values_mut() {
            member.absent_reads = member.absent_reads.saturating_add(1);
        }
        for vm in vms {
            if vm.address == self.own.node.address {
                read.own_leaving = self.is_own_vm_leaving(vm, now_ms);
            } else {
                self.apply_listed(vm, now_ms);
            }
        }
        self.remove_absent(now_ms);
        read.leaving = self.bind_leaving_listings(now_ms);
        read
    }

    /// Takes in that a datagram came from `from`: a sign of life.
    pub fn on_datagram(&mut self, from: NodeId, role: ProcessRole, now_ms: u64) -> UpdateOutcome {
        if from.address == self.own.node.address {
            return self.on_own_incarnation(from.incarnation);
        }
        let Some(member) = self.get_or_insert(from.address, role, now_ms) else {
            return UpdateOutcome::Unchanged;
        };
        match member.adopt_incarnation(from.incarnation, now_ms) {
            Err(older) => older,
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

    /// Takes in a status; it is also a sign of life.
    pub fn on_status(
        &mut self,
        from: NodeId,
        role: ProcessRole,
        status: &Status,
        now_ms: u64,
    ) -> UpdateOutcome {
        let heard = self.on_datagram(from, role, now_ms);
        if !matches!(heard, UpdateOutcome::Changed | UpdateOutcome::Unchanged) {
            return heard;
        }
        let Some(member) = self.members.get_mut(&from.address) else {
            return heard;
        };
        let known_life = member.status.as_ref().map(|(known, _)| known.endpoint_life);
        if known_life.is_some_and(|known| status.endpoint_life < known) {
            return heard;
        }
        member.apply_status(status, now_ms);
        if status.leaving && member.mark_leaving(now_ms) {
            return UpdateOutcome::Changed;
        }
        heard
    }

    /// Takes in that a life is leaving; from whom does not matter.
    pub fn on_leaving(&mut self, node: NodeId, now_ms: u64) -> UpdateOutcome {
        if node.address == self.own.node.address {
            return self.on_own_leaving(node.incarnation);
        }
        // A role of Agent is a guess until the process is heard or listed; nothing is
        // built on it, because a leaving life takes no work in either role.
        let Some(member) = self.get_or_insert(node.address, ProcessRole::Agent, now_ms) else {
            return UpdateOutcome::Unchanged;
        };
        match member.adopt_incarnation(node.incarnation, now_ms) {
            Err(older) => older,
            Ok(_) if member.mark_leaving(now_ms) => UpdateOutcome::Changed,
            Ok(_) => UpdateOutcome::Unchanged,
        }
    }

    /// Takes in that some process knows this life at this process's own address.
    pub fn on_own_incarnation(&mut self, heard: Incarnation) -> UpdateOutcome {
        if self.own.raise_above(heard) {
            UpdateOutcome::OwnIncarnationRaised
        } else {
            UpdateOutcome::Unchanged
        }
    }

    /// A higher number is an earlier life whose clock ran ahead. The same number is this
    /// life: some process read in the VM list that it leaves.
    fn on_own_leaving(&mut self, heard: Incarnation) -> UpdateOutcome {
        if heard == self.own.node.incarnation {
            return UpdateOutcome::OwnLeaving;
        }
        self.on_own_incarnation(heard)
    }

    fn is_own_vm_leaving(&self, vm: &ListedVm, now_ms: u64) -> bool {
        let age_ms = now_ms.saturating_sub(self.own.started_ms);
        vm.leaving && age_ms >= self.settings.list_lag_ms
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
        let returned = member.listing != Some(listing) || member.absent_reads > 1;
        if returned && listing == Listing::Live {
            // A VM that comes back is heard at once instead of in the next sweep.
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
            let lives = member.incarnation.into_iter();
            leaving.extend(lives.map(|incarnation| NodeId {
                address,
                incarnation,
            }));
        }
        leaving
    }

    /// Drops those that the list no longer names, unless they answer: the list lags and
    /// may be wrong, an answer is not. Their last life is remembered for a while, or a
    /// late datagram would bring it or an earlier one back.
    fn remove_absent(&mut self, now_ms: u64) {
        let settings = self.settings;
        let answer_ms = 2 * settings.sweep_period_ms(self.members.len());
        self.members.retain(|_, member| {
            if member.absent_reads < settings.absent_reads_max {
                return true;
            }
            member.listing = None;
            let kept = |since_ms| now_ms.saturating_sub(since_ms) < settings.leaving_retention_ms;
            if let Some(since_ms) = member.leaving_since_ms {
                return kept(since_ms);
            }
            if member.answered_within(answer_ms, now_ms) {
                return true;
            }
            let gone_since_ms = *member.absent_since_ms.get_or_insert(now_ms);
            member.incarnation.is_some() && kept(gone_since_ms)
        });
    }

    /// The members without those that are only remembered.
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
        let known = self.members.contains_key(&address);
        if !known && self.members.len() >= self.settings.members_max {
            return None;
        }
        if !known {
            let first_probe_ms = self.next_discovery_ms.max(now_ms);
            let pause_ms = 1_000 / self.settings.discoveries_per_s.max(1);
            self.next_discovery_ms = first_probe_ms + pause_ms;
            self.members
                .insert(address, Member::new(role, first_probe_ms));
        }
        self.members.get_mut(&address)
    }
}
