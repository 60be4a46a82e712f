//! What is known of one address.

use std::sync::Arc;

use derive::{key, value};
use protocol::{HostedService, ProcessRole, Status};
use types::{FailureDomain, Incarnation, Region};

use crate::MemberSettings;

/// Whether a process answers probes.
#[key]
pub enum Liveness {
    /// It answers, or nothing speaks against it yet.
    Live,
    /// It missed some answers, or is kept though it missed many.
    Suspect,
    /// It missed too many answers.
    Down,
}

/// What a piece of news was worth.
#[key]
pub enum UpdateOutcome {
    /// Nothing new.
    Unchanged,
    /// Changed the view; a rumour of it is worth spreading.
    Changed,
    /// From an earlier life; tell the sender that this one is known.
    StaleIncarnation {
        /// Highest life known at the address.
        known: Incarnation,
    },
    /// This process took a higher number; it is in [`crate::Members::own`].
    OwnIncarnationRaised,
    /// This process is said to be leaving: start the drain.
    OwnLeaving,
}

/// Word of the VM list on an address.
#[key]
pub(crate) enum Listing {
    Live,
    Leaving,
}

#[value]
pub(crate) struct Member {
    pub(crate) role: ProcessRole,
    /// `None` until the VM list or a status says so.
    pub(crate) location: Option<(FailureDomain, Region)>,
    pub(crate) incarnation: Option<Incarnation>,
    pub(crate) incarnation_since_ms: u64,
    /// An earlier life at this address was leaving.
    pub(crate) follows_leaving: bool,
    /// Sticky for the life in `incarnation`.
    pub(crate) leaving_since_ms: Option<u64>,
    pub(crate) listing: Option<Listing>,
    pub(crate) absent_reads: u32,
    /// Neither listed nor heard since; kept only so that its life stays known.
    pub(crate) absent_since_ms: Option<u64>,
    /// Its newest status with the hosted services of all parts, and when it came.
    pub(crate) status: Option<(Arc<Status>, u64)>,
    /// Hosted services by part.
    pub(crate) parts: Vec<Vec<HostedService>>,
    pub(crate) watched: bool,
    pub(crate) last_heard_ms: Option<u64>,
    pub(crate) misses: u32,
    pub(crate) down_since_ms: Option<u64>,
    pub(crate) probe_sent_ms: Option<u64>,
    pub(crate) next_probe_ms: u64,
}

impl Member {
    pub(crate) fn new(role: ProcessRole, next_probe_ms: u64) -> Self {
        Self {
            role,
            location: None,
            incarnation: None,
            incarnation_since_ms: 0,
            follows_leaving: false,
            leaving_since_ms: None,
            listing: None,
            absent_reads: 0,
            absent_since_ms: None,
            status: None,
            parts: Vec::new(),
            watched: false,
            last_heard_ms: None,
            misses: 0,
            down_since_ms: None,
            probe_sent_ms: None,
            next_probe_ms,
        }
    }

    /// Takes up a life unless a later one is known; true if it is a new one.
    pub(crate) fn adopt_incarnation(
        &mut self,
        heard: Incarnation,
        now_ms: u64,
    ) -> Result<bool, UpdateOutcome> {
        match self.incarnation {
            Some(known) if heard < known => return Err(UpdateOutcome::StaleIncarnation { known }),
            Some(known) if heard == known => return Ok(false),
            _ => {}
        }
        self.follows_leaving = self.incarnation.is_some() && self.is_leaving();
        self.incarnation = Some(heard);
        self.incarnation_since_ms = now_ms;
        self.leaving_since_ms = None;
        self.status = None;
        self.parts.clear();
        self.last_heard_ms = None;
        Ok(true)
    }

    /// Takes a status up. One part of several replaces that part alone: a datagram has no
    /// room for the services of a pool that many share, and a service whose part was lost
    /// would seem to be gone until the next probe.
    pub(crate) fn apply_status(&mut self, status: &Status, now_ms: u64) {
        self.location = Some((status.failure_domain.clone(), status.region.clone()));
        let mut whole = status.clone();
        self.parts
            .resize(usize::from(status.parts.max(1)), Vec::new());
        if let Some(part) = self.parts.get_mut(usize::from(status.part)) {
            part.clone_from(&status.hosted);
        }
        whole.hosted = self.parts.concat();
        self.status = Some((Arc::new(whole), now_ms));
    }

    /// Marks the life as leaving for good; true the first time.
    pub(crate) fn mark_leaving(&mut self, now_ms: u64) -> bool {
        let first = self.leaving_since_ms.is_none();
        self.leaving_since_ms.get_or_insert(now_ms);
        first
    }

    /// A sign of life.
    pub(crate) fn record_answer(&mut self, now_ms: u64) {
        self.last_heard_ms = Some(now_ms);
        self.misses = 0;
        self.absent_since_ms = None;
        self.down_since_ms = None;
        self.probe_sent_ms = None;
    }

    /// Counts a probe whose answer did not come in time.
    pub(crate) fn check_probe_timeout(&mut self, settings: &MemberSettings, now_ms: u64) {
        let Some(sent_ms) = self.probe_sent_ms else {
            return;
        };
        if now_ms < sent_ms + settings.probe_timeout_ms {
            return;
        }
        self.probe_sent_ms = None;
        self.misses = self.misses.saturating_add(1);
        if self.misses < settings.misses_to_down {
            self.next_probe_ms = now_ms;
        } else {
            self.down_since_ms.get_or_insert(now_ms);
        }
    }

    pub(crate) fn liveness(&self, settings: &MemberSettings) -> Liveness {
        if self.misses >= settings.misses_to_down {
            Liveness::Down
        } else if self.misses >= settings.misses_to_suspect {
            Liveness::Suspect
        } else {
            Liveness::Live
        }
    }

    /// Whether the process gets no new work because it is leaving, as far as known.
    ///
    /// The list knows addresses only. Where it says leaving and no earlier life was known
    /// to leave, its word holds for the life that answers, though that may be a new one:
    /// a wrong guess costs one endpoint for the list's lag, the other guess would send
    /// new work to a VM that is being taken away. A life that follows one that left is
    /// live at once; see [`Member::heed_list`] for when the list's word reaches it.
    pub(crate) fn is_leaving(&self) -> bool {
        let shunned = self.listing == Some(Listing::Leaving) && !self.follows_leaving;
        self.leaving_since_ms.is_some() || shunned
    }

    /// Binds the list's "leaving" to the life that has been known for longer than the
    /// list lags; true when this is new.
    pub(crate) fn bind_leaving_listing(&mut self, settings: &MemberSettings, now_ms: u64) -> bool {
        let listed = self.listing == Some(Listing::Leaving);
        let known_ms = now_ms.saturating_sub(self.incarnation_since_ms);
        let about_this_life = self.incarnation.is_some() && known_ms >= settings.list_lag_ms;
        listed && about_this_life && self.mark_leaving(now_ms)
    }

    /// Whether it was heard within `within_ms`.
    pub(crate) fn answered_within(&self, within_ms: u64, now_ms: u64) -> bool {
        self.last_heard_ms
            .is_some_and(|heard_ms| now_ms.saturating_sub(heard_ms) <= within_ms)
    }
}
