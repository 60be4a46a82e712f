//! State of the process at one address.

use std::sync::Arc;

use derive::{key, value};
use protocol::{HostedService, ProcessRole, Status};
use types::{FailureDomain, Incarnation, Region};

use crate::MemberSettings;

/// Whether a process answers probes.
#[key]
pub enum Liveness {
    /// The process answers probes, or has not missed enough answers to be suspected.
    Live,
    /// The process missed some answers, or missed many while this process doubts its own network.
    Suspect,
    /// The process missed too many consecutive answers.
    Down,
}

/// Effect of a message on the view.
#[key]
pub enum UpdateOutcome {
    /// The message contained nothing new.
    Unchanged,
    /// The view changed; the change should be gossiped.
    Changed,
    /// The message is from an earlier incarnation; tell the sender which one is known.
    StaleIncarnation {
        /// Highest incarnation known at the address.
        known: Incarnation,
    },
    /// This process raised its incarnation; [`crate::Members::own`] returns the new one.
    OwnIncarnationRaised,
    /// This process is reported to be leaving and must start to drain.
    OwnLeaving,
}

/// State of an address in the VM list.
#[key]
pub(crate) enum Listing {
    Live,
    Leaving,
}

#[value]
pub(crate) struct Member {
    pub(crate) role: ProcessRole,
    /// Failure domain and region; `None` until the VM list or a status states them.
    pub(crate) location: Option<(FailureDomain, Region)>,
    pub(crate) incarnation: Option<Incarnation>,
    pub(crate) incarnation_since_ms: u64,
    /// Whether the previous incarnation at this address was leaving.
    pub(crate) follows_leaving: bool,
    /// When the current incarnation was found to be leaving; never reset for this incarnation.
    pub(crate) leaving_since_ms: Option<u64>,
    pub(crate) listing: Option<Listing>,
    pub(crate) absent_reads: u32,
    /// Since when the process is neither listed nor answers; the member is kept only to remember
    /// its incarnation.
    pub(crate) absent_since_ms: Option<u64>,
    /// Newest status with the hosted services of all parts, and when it was received.
    pub(crate) status: Option<(Arc<Status>, u64)>,
    /// Hosted services by part of the status.
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

    /// Adopts an incarnation unless a later one is known. Returns whether it is new.
    pub(crate) fn adopt_incarnation(
        &mut self,
        received: Incarnation,
        now_ms: u64,
    ) -> Result<bool, UpdateOutcome> {
        match self.incarnation {
            Some(known) if received < known => {
                return Err(UpdateOutcome::StaleIncarnation { known });
            }
            Some(known) if received == known => return Ok(false),
            _ => {}
        }
        self.follows_leaving = self.incarnation.is_some() && self.is_leaving();
        self.incarnation = Some(received);
        self.incarnation_since_ms = now_ms;
        self.leaving_since_ms = None;
        self.status = None;
        self.parts.clear();
        self.last_heard_ms = None;
        Ok(true)
    }

    /// Applies a status. If the status is one of several parts, it replaces only that part: the
    /// services of a pool that many customers share do not fit into one datagram, and a service
    /// whose part was lost would otherwise appear to be gone until the next probe.
    pub(crate) fn apply_status(&mut self, status: &Status, now_ms: u64) {
        self.location = Some((status.failure_domain.clone(), status.region.clone()));
        let mut full_status = status.clone();
        self.parts
            .resize(usize::from(status.parts.max(1)), Vec::new());
        if let Some(part) = self.parts.get_mut(usize::from(status.part)) {
            part.clone_from(&status.hosted);
        }
        full_status.hosted = self.parts.concat();
        self.status = Some((Arc::new(full_status), now_ms));
    }

    /// Marks the incarnation as leaving permanently. Returns true the first time.
    pub(crate) fn mark_leaving(&mut self, now_ms: u64) -> bool {
        let is_first = self.leaving_since_ms.is_none();
        self.leaving_since_ms.get_or_insert(now_ms);
        is_first
    }

    /// Records that the process answered.
    pub(crate) fn record_answer(&mut self, now_ms: u64) {
        self.last_heard_ms = Some(now_ms);
        self.misses = 0;
        self.absent_since_ms = None;
        self.down_since_ms = None;
        self.probe_sent_ms = None;
    }

    /// Counts a probe that was not answered in time.
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
    /// The VM list knows only addresses. If it says "leaving" and no earlier incarnation was known
    /// to leave, this is applied to the incarnation that answers, although that one may be new. If
    /// this is wrong, one endpoint gets no work for the lag of the list; the opposite assumption
    /// could send new work to a VM that is being removed. An incarnation that follows a leaving one
    /// is live at once; see [`Member::bind_leaving_listing`] for when the list's state applies to
    /// it.
    pub(crate) fn is_leaving(&self) -> bool {
        let is_listed_leaving = self.listing == Some(Listing::Leaving) && !self.follows_leaving;
        self.leaving_since_ms.is_some() || is_listed_leaving
    }

    /// Applies the list's "leaving" to an incarnation that has been known for longer than the list
    /// lags. Returns whether this is new.
    pub(crate) fn bind_leaving_listing(&mut self, settings: &MemberSettings, now_ms: u64) -> bool {
        let is_listed_leaving = self.listing == Some(Listing::Leaving);
        let known_ms = now_ms.saturating_sub(self.incarnation_since_ms);
        let applies_to_incarnation = self.incarnation.is_some() && known_ms >= settings.list_lag_ms;
        is_listed_leaving && applies_to_incarnation && self.mark_leaving(now_ms)
    }

    /// Whether the process answered within the last `within_ms`.
    pub(crate) fn answered_within(&self, within_ms: u64, now_ms: u64) -> bool {
        self.last_heard_ms
            .is_some_and(|heard_ms| now_ms.saturating_sub(heard_ms) <= within_ms)
    }
}
