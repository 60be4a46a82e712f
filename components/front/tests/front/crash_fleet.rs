//! Replicas that a request crashes, for tests of such requests.

use std::time::{Duration, Instant};

use hyper::Method;
use standins::fleet::records::{ENGINES, PLAIN};
use standins::{Fault, FaultKind};
use tokio::time::sleep;

use crate::common::{FrontHandle, Replica, Site};

/// Body of the request that crashes replicas.
pub const CRASHING: &str = "crashing";
/// Time that a call takes, and an event of a text.
pub const CALL_MS: u64 = 10;
/// Events of a text.
pub const EVENTS: u64 = 5;
/// Number of plain replicas.
pub const REPLICAS: usize = 6;
/// Usual time from a crash to the start of the next replica at another address.
const RESTART: Duration = Duration::from_millis(300);
/// The same where the address of the crashed one accepts connections in the meantime.
const ACCEPTING_RESTART: Duration = Duration::from_secs(3);
/// Interval at which replicas write their records.
pub const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Time after which every front that reaches the store knows what the others have seen.
pub const STABLE: Duration = Duration::from_secs(3);
/// How often the platform accepts that a request reaches replicas later than [`STABLE`] after its
/// third crash.
pub const LATE_RUNS_MAX: usize = 3;
/// Deadline of a request.
pub const DEADLINE: Duration = Duration::from_millis(1_500);
/// A refusal must not take longer than this.
pub const AT_ONCE: Duration = Duration::from_millis(250);

/// Replicas of one service that a request crashes. A crashed replica does not come back; another
/// one, with another id, takes its place.
pub struct Fleet {
    pub site: Site,
    service: &'static str,
    /// When each of the replicas crashed, the oldest first.
    pub crashes: Vec<Instant>,
    /// Crashed replicas that are to be replaced, with the time of the crash.
    to_replace: Vec<(String, Instant)>,
    /// Number of replicas that were started.
    started: usize,
    /// Whether the address of a crashed replica accepts connections and closes them.
    addresses_accept: bool,
    /// Time from a crash to the start of the next replica at another address.
    restart: Duration,
    /// When the replicas last wrote their records.
    heartbeat_at: Instant,
}

impl Fleet {
    pub async fn start() -> Self {
        Self::start_of(PLAIN, REPLICAS).await
    }

    pub async fn start_of(service: &'static str, replicas: usize) -> Self {
        let site = Site::start_with(EVENTS, CALL_MS, CALL_MS).await;
        let is_armed = |replica: &&Replica| replica.service == service;
        let armed = site.replicas.iter().filter(is_armed);
        let armed: Vec<String> = armed.map(|replica| replica.id.clone()).collect();
        let mut fleet = Self {
            site,
            service,
            crashes: Vec::new(),
            to_replace: Vec::new(),
            started: armed.len(),
            addresses_accept: false,
            restart: RESTART,
            heartbeat_at: Instant::now(),
        };
        for id in armed {
            fleet.arm(&id);
        }
        while fleet.started < replicas {
            fleet.add().await;
        }
        fleet
    }

    /// Makes the addresses of crashed replicas accept connections and close them.
    pub fn accept_at_crashed_addresses(&mut self) {
        self.addresses_accept = true;
        self.restart = ACCEPTING_RESTART;
        for replica in self
            .site
            .replicas
            .iter()
            .filter(|r| r.service == self.service)
        {
            self.arm(&replica.id);
        }
    }

    /// Makes a replica crash when it runs the request.
    fn arm(&self, id: &str) {
        let fault = Fault::new(FaultKind::CrashOn).with_text(CRASHING);
        let fault = match self.addresses_accept {
            true => fault.accepting(),
            false => fault,
        };
        let down_ms = Duration::from_secs(600).as_millis() as u64;
        let replica = self.site.replica(id);
        replica.handle.inject_fault(fault.delayed(down_ms));
    }

    async fn add(&mut self) {
        self.started += 1;
        let id = format!("{}-{}", self.service, self.started);
        let events = if self.service == ENGINES { EVENTS } else { 0 };
        self.site.add(&id, self.service, events, CALL_MS).await;
        self.arm(&id);
    }

    /// Counts the replicas that crashed since the last call, and replaces those that crashed
    /// `restart` ago. The others write their records each [`HEARTBEAT`].
    pub async fn observe(&mut self) {
        let now = Instant::now();
        if self.heartbeat_at + HEARTBEAT <= now {
            self.heartbeat_at = now;
            let live = self
                .site
                .replicas
                .iter()
                .filter(|r| r.handle.crashes() == 0);
            for replica in live {
                self.site.write_heartbeat(replica, "ready", 1);
            }
        }
        for replica in &self.site.replicas {
            let known = self.to_replace.iter().any(|(id, _)| *id == replica.id);
            if replica.handle.crashes() > 0 && !known {
                self.crashes.push(now);
                self.to_replace.push((replica.id.clone(), now));
            }
        }
        let is_due = |(_, crashed_at): &(String, Instant)| *crashed_at + self.restart <= now;
        let due: Vec<(String, Instant)> = self.to_replace.extract_if(.., |r| is_due(r)).collect();
        for (id, _) in due {
            self.site.store.put("keyed.servers", &id, None);
            self.site.replicas.retain(|replica| replica.id != id);
            self.add().await;
        }
    }

    /// Checks how often the request reached replicas once every front could know of it.
    pub fn check_late_crashes(&self) {
        check_late_crashes(&self.crashes);
    }

    /// Sends the crashing request repeatedly, to one front after the other.
    pub async fn repeat_crashing_request(&mut self, fronts: &[FrontHandle], for_time: Duration) {
        let began = Instant::now();
        let mut number = 0;
        while began.elapsed() < for_time {
            let id = format!("crashing-{number}");
            let headers = [
                ("hornbeamrock-request-id", id.as_str()),
                ("hornbeamrock-deadline-ms", "1500"),
            ];
            let front = &fronts[number % fronts.len()];
            let request = front.request(Method::POST, "/calls/x", &headers, CRASHING);
            let (status, _, _) = request.await;
            assert!(
                status >= 500,
                "a call without an answer ended with {status}"
            );
            self.observe().await;
            sleep(Duration::from_millis(50)).await;
            number += 1;
        }
    }
}

/// Checks how many of these crashes, the oldest first, a request caused once every front could know
/// of it.
pub fn check_late_crashes(crashes: &[Instant]) {
    let third = crashes.get(2);
    let late = third.map_or(0, |third| {
        let is_late = |at: &&Instant| **at > *third + STABLE;
        crashes.iter().filter(is_late).count()
    });
    assert!(
        late <= LATE_RUNS_MAX,
        "{late} of {} replicas crashed later than {STABLE:?} after the third crash",
        crashes.len()
    );
}

/// Sends a request with this body and a deadline of [`DEADLINE`]; returns the status and `Retry-After`.
pub async fn send(front: &FrontHandle, id: &str, body: &str) -> (u16, Option<f64>) {
    let deadline_ms = DEADLINE.as_millis().to_string();
    let headers = [
        ("hornbeamrock-request-id", id),
        ("hornbeamrock-deadline-ms", deadline_ms.as_str()),
    ];
    let request = front.request(Method::POST, "/calls/x", &headers, body);
    let (status, retry_after, _) = request.await;
    (status, retry_after.and_then(|text| text.parse().ok()))
}

/// Checks that a front refuses the crashing request at once, with a time to come back that is
/// longer than any deadline.
pub async fn check_refusal(front: &FrontHandle, id: &str) {
    let began = Instant::now();
    let (status, retry_after_s) = send(front, id, CRASHING).await;
    assert_eq!(status, 503);
    assert!(retry_after_s.is_some_and(|wait_s| wait_s > 60.0));
    assert!(began.elapsed() < AT_ONCE, "{:?}", began.elapsed());
}
