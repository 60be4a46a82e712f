//! Reads the platform's VM list now and then. The list lags, so reading it more often
//! would only cost; leaving processes tell of themselves sooner.

use std::time::Duration;

use membership::Listed;
use platform::{Vm, VmList, VmRole, VmState};
use protocol::ProcessRole;
use tokio::sync::mpsc;

/// Time between two reads.
const READ_EVERY_MS: u64 = 2_000;
/// Share of that time by which reads of many processes spread, in milliseconds.
const JITTER_MS: u64 = 500;

/// Reads the list until the receiver is gone. A failed read is no news.
pub(crate) async fn poll(list: VmList, reads: mpsc::Sender<Vec<Listed>>) {
    loop {
        match list.list().await {
            Ok(vms) => {
                let listed = vms.into_iter().map(listed).collect();
                if reads.send(listed).await.is_err() {
                    return;
                }
            }
            Err(error) => log::debug!(event = "vm-list-unread", reason:% = error; ""),
        }
        let jitter_ms = rand::random_range(0..JITTER_MS);
        tokio::time::sleep(Duration::from_millis(READ_EVERY_MS + jitter_ms)).await;
    }
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
