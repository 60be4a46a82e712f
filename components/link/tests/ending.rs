//! Calls that are begun while their runtime ends.
#![allow(clippy::unwrap_used)] // The exemption of clippy.toml ends at helpers of tests.

mod common;

use std::sync::mpsc::{Sender, channel};

use common::{keys, open, settings};
use link::Links;

struct CallsWhenDropped {
    links: Links,
    returned: Sender<()>,
}

impl Drop for CallsWhenDropped {
    fn drop(&mut self) {
        let nobody = ([127, 0, 0, 1], 1).into();
        drop(self.links.call(nobody, open(&self.links, b"")));
        self.returned.send(()).unwrap();
    }
}

// A process leaves and its runtime ends while a task begins a call. The task that would
// carry the call dies as it is started, every time. The call must come back, or the thread
// spins and the runtime, which waits for it, never ends: the VM's process stays for ever.
#[test]
fn can_begin_a_call_while_the_runtime_ends() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    let (returned, word) = channel();
    runtime.spawn(async move {
        let _late = CallsWhenDropped {
            links: Links::new(settings(([127, 0, 0, 1], 2).into(), keys())),
            returned,
        };
        std::future::pending::<()>().await;
    });
    runtime.block_on(tokio::task::yield_now());
    drop(runtime);
    assert!(word.recv().is_ok());
}
