//! Reads the platform's VM list now and then. The list lags, so reading it more often
//! would only cost; leaving processes tell of themselves sooner.
//!
//! The whole list comes with each read. At 990 VMs it has 100 KB, and one read every two
//! seconds would be three times what a node may spend on all control together. So the time
//! between two reads grows with the list. Little is lost by it: whoever reads first that a
//! VM leaves spreads it as a rumour, and new agents greet the entries themselves.

use std::time::Duration;

use adapters::{Vm, VmList, VmRole, VmState};
use membership::Listed;
use protocol::ProcessRole;
use tokio::sync::mpsc;

/// Shortest time between two reads.
const READ_EVERY_MS: u64 = 2_000;
/// Share of a node's bytes for control that reads of the list may take.
const READ_BYTES_PER_S: u64 = 2_048;
/// Bytes of one VM in the list.
const VM_BYTES: u64 = 110;
/// Share of that time by which reads of many processes spread, in milliseconds.
const JITTER_MS: u64 = 500;

/// Reads the list until the receiver is gone. A failed read is no news.
pub(crate) async fn poll(list: VmList, reads: mpsc::Sender<Vec<Listed>>) {
    let mut every_ms = READ_EVERY_MS;
    loop {
        match list.list().await {
            Ok(vms) => {
                every_ms = vm_list_interval_ms(vms.len());
                let listed = vms.into_iter().map(listed).collect();
                if reads.send(listed).await.is_err() {
                    return;
                }
            }
            Err(error) => log::debug!(event = "vm-list-unread", reason:% = error; ""),
        }
        let jitter_ms = rand::random_range(0..JITTER_MS);
        tokio::time::sleep(Duration::from_millis(every_ms + jitter_ms)).await;
    }
}

/// Time between two reads of a list of so many VMs, in milliseconds.
pub fn vm_list_interval_ms(vms: usize) -> u64 {
    let list_bytes = vms as u64 * VM_BYTES;
    READ_EVERY_MS.max(list_bytes * 1_000 / READ_BYTES_PER_S)
}

fn listed(vm: Vm) -> Listed {
    Listed {
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
