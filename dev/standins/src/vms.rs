//! The VM list, which shows each change after a delay.

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

const LIST_PATH: &str = "/vms";

/// Settings of the VM list.
#[value]
pub struct VmsSettings {
    /// Address to listen on; with port 0 the system chooses the port.
    pub listen: SocketAddr,
    /// VMs at the start.
    pub vms: Vec<Vm>,
    /// Time until a change becomes visible.
    pub lag_ms: u64,
}

impl VmsSettings {
    /// An empty list whose changes are visible at once.
    pub fn new(listen: SocketAddr) -> VmsSettings {
        VmsSettings {
            listen,
            vms: Vec::new(),
            lag_ms: 0,
        }
    }
}

/// A change of the list, the body of `POST /standin/vms`.
#[wire]
#[derive(Default)]
pub struct VmsChange {
    /// VMs to add. A VM replaces the listed VM with the same address.
    #[serde(default)]
    pub set: Vec<Vm>,
    /// Addresses of VMs to remove.
    #[serde(default)]
    pub remove: Vec<SocketAddr>,
}

#[derive(Serialize)]
struct Listing<'a> {
    vms: &'a [Vm],
}

struct Snapshot {
    taken_at: Instant,
    vms: Vec<Vm>,
}

struct Vms {
    control: Arc<Control>,
    lag_ms: u64,
    snapshots: Mutex<Vec<Snapshot>>,
}

/// Starts a VM list on `settings.listen`.
pub async fn start(settings: VmsSettings) -> Result<Handle, StandinError> {
    let control = Control::new();
    let start = Snapshot {
        taken_at: Instant::now(),
        vms: settings.vms,
    };
    let vms = Arc::new(Vms {
        control: control.clone(),
        lag_ms: settings.lag_ms,
        snapshots: Mutex::new(vec![start]),
    });
    http::serve(settings.listen, control, false, move |call| {
        std::future::ready(vms.answer(&call))
    })
    .await
}

impl Vms {
    fn answer(&self, call: &Call) -> Reply {
        match (call.method.as_str(), call.path.as_str()) {
            ("GET", LIST_PATH) => self.list(),
            ("POST", "/standin/vms") => match call.json() {
                Ok(change) => self.change(change),
                Err(refusal) => *refusal,
            },
            _ => reply::error(404, "no-such-path"),
        }
    }

    fn list(&self) -> Reply {
        let fault = self.control.faults.trigger(FaultKind::Lag, LIST_PATH);
        let lag_ms = fault.map_or(self.lag_ms, |fault| fault.delay_ms);
        let lag = Duration::from_millis(lag_ms);
        let snapshots = self.lock();
        let visible = snapshots
            .iter()
            .rev()
            .find(|snapshot| snapshot.taken_at.elapsed() >= lag);
        let vms = visible
            .or(snapshots.first())
            .map(|snapshot| snapshot.vms.as_slice());
        reply::json(
            200,
            &Listing {
                vms: vms.unwrap_or_default(),
            },
        )
    }

    fn change(&self, change: VmsChange) -> Reply {
        let mut snapshots = self.lock();
        let last = snapshots.last().map(|snapshot| snapshot.vms.clone());
        let mut vms = last.unwrap_or_default();
        let set = change.set.iter().map(|vm| vm.address);
        let removed: Vec<SocketAddr> = set.chain(change.remove).collect();
        vms.retain(|vm| !removed.contains(&vm.address));
        vms.extend(change.set);
        snapshots.push(Snapshot {
            taken_at: Instant::now(),
            vms,
        });
        reply::ok()
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Snapshot>> {
        self.snapshots
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
