//! Polls the platform's VM list. The list lags behind, so more frequent polls would add cost
//! without benefit; leaving processes announce themselves sooner.
//!
//! Each read returns the whole list. With 990 VMs it has 100 KB, and one read every two seconds
//! would take three times the bandwidth that a node may use for all control traffic. The
//! interval therefore grows with the list. This costs little: the first process that reads that
//! a VM is leaving spreads it as a rumour, and new agents announce themselves to the entries.

use std::time::Duration;

use adapters::{Vm, VmList, VmRole, VmState};
use membership::ListedVm;
use protocol::ProcessRole;
use tokio::sync::mpsc;

/// Shortest time between two reads of the list.
const LIST_INTERVAL_MS_MIN: u64 = 2_000;
/// Bandwidth that reads of the list may take of a node's budget for control traffic.
const LIST_BYTES_PER_S_MAX: u64 = 2_048;
/// Approximate size of one VM in the list.
const VM_ENTRY_BYTES: u64 = 110;
/// Upper bound of the random delay that is added to the interval, so that the reads of many
/// processes do not coincide.
const JITTER_MS_MAX: u64 = 500;

/// Reads the list until the receiver is dropped. A failed read is logged and repeated after the
/// interval.
pub(crate) async fn poll(list: VmList, lists: mpsc::Sender<Vec<ListedVm>>) {
    let mut interval_ms = LIST_INTERVAL_MS_MIN;
    loop {
        match list.list().await {
            Ok(vms) => {
                interval_ms = vm_list_interval_ms(vms.len());
                let listed = vms.into_iter().map(listed).collect();
                if lists.send(listed).await.is_err() {
                    return;
                }
            }
            Err(error) => log::debug!(event = "vm-list-unread", reason:% = error; ""),
        }
        let jitter_ms = rand::random_range(0..JITTER_MS_MAX);
        tokio::time::sleep(Duration::from_millis(interval_ms + jitter_ms)).await;
    }
}

/// Time between two reads of a list with this number of VMs, in milliseconds.
pub fn vm_list_interval_ms(vms: usize) -> u64 {
    let list_bytes = vms as u64 * VM_ENTRY_BYTES;
    LIST_INTERVAL_MS_MIN.max(list_bytes * 1_000 / LIST_BYTES_PER_S_MAX)
}

fn listed(vm: Vm) -> ListedVm {
    ListedVm {
        address: vm.address,
        role: match vm.role {
            VmRole::Entry => ProcessRole::Entry,
            VmRole::Agent => ProcessRole::Agent,
        },
        failure_domain: vm.failure_domain,
        region: vm.region,
        leaving: vm.state == VmState::Leaving,
    }
}
