//! The VM list, which shows each change late.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use adapters::Vm;
use derive::{value, wire};
use serde::Serialize;
use tokio::time::Instant;

use crate::error::StandinError;
use crate::fault::FaultKind;
use crate::handle::{Control, Handle};
use crate::http::{self, Call};
use crate::reply::{self, Reply};

const LISTING: &str = "/vms";

/// Settings of the VM list.
#[value]
pub struct VmsSettings {
    /// Where it listens.
    pub listen: SocketAddr,
    /// VMs at the start.
    pub vms: Vec<Vm>,
    /// How late a change shows.
    pub lag_ms: u64,
}

impl VmsSettings {
    /// A list at `listen`, empty, without lag.
    pub fn new(listen: SocketAddr) -> VmsSettings {
        VmsSettings {
            listen,
            vms: Vec::new(),
            lag_ms: 0,
        }
    }
}

/// A change of the list, as `POST /standin/vms` takes it.
#[wire]
#[derive(Default)]
pub struct VmsChange {
    /// VMs that come in or take the place of the one at their address.
    #[serde(default)]
    pub set: Vec<Vm>,
    /// Addresses that leave the list.
    #[serde(default)]
    pub remove: Vec<SocketAddr>,
}

#[derive(Serialize)]
struct Listing<'a> {
    vms: &'a [Vm],
}

struct Version {
    at: Instant,
    vms: Vec<Vm>,
}

struct Vms {
    control: Arc<Control>,
    lag_ms: u64,
    versions: Mutex<Vec<Version>>,
}

/// Starts the VM list.
pub async fn start(settings: VmsSettings) -> Result<Handle, StandinError> {
    let control = Control::new();
    let start = Version {
        at: Instant::now(),
        vms: settings.vms,
    };
    let vms = Arc::new(Vms {
        control: control.clone(),
        lag_ms: settings.lag_ms,
        versions: Mutex::new(vec![start]),
    });
    http::serve(settings.listen, control, false, move |call| {
        std::future::ready(vms.answer(&call))
    })
    .await
}

impl Vms {
    fn answer(&self, call: &Call) -> Reply {
        match (call.method.as_str(), call.path.as_str()) {
            ("GET", LISTING) => self.list(),
            ("POST", "/standin/vms") => match call.json() {
                Ok(change) => self.change(change),
                Err(refusal) => *refusal,
            },
            _ => reply::error(404, "no-such-path"),
        }
    }

    fn list(&self) -> Reply {
        let fault = self.control.faults.hit(FaultKind::Lag, LISTING);
        let lag_ms = fault.map_or(self.lag_ms, |fault| fault.delay_ms);
        let lag = Duration::from_millis(lag_ms);
        let versions = self.lock();
        let known = versions
            .iter()
            .rev()
            .find(|version| version.at.elapsed() >= lag);
        let vms = known
            .or(versions.first())
            .map(|version| version.vms.as_slice());
        reply::json(
            200,
            &Listing {
                vms: vms.unwrap_or_default(),
            },
        )
    }

    fn change(&self, change: VmsChange) -> Reply {
        let mut versions = self.lock();
        let last = versions.last().map(|version| version.vms.clone());
        let mut vms = last.unwrap_or_default();
        let set = change.set.iter().map(|vm| vm.address);
        let gone: Vec<SocketAddr> = set.chain(change.remove).collect();
        vms.retain(|vm| !gone.contains(&vm.address));
        vms.extend(change.set);
        versions.push(Version {
            at: Instant::now(),
            vms,
        });
        reply::done()
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Version>> {
        self.versions.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
