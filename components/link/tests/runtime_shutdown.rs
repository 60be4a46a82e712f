//! Calls that are started while their runtime shuts down.
#![allow(clippy::unwrap_used)] // clippy.toml exempts only test functions.

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
        let unused_address = ([127, 0, 0, 1], 1).into();
        drop(self.links.call(unused_address, open(&self.links, b"")));
        self.returned.send(()).unwrap();
    }
}

// While a runtime shuts down, each new task is dropped at once, also the one for the peer of a
// call. `Links::call` must return nevertheless: if it retried without end, the runtime would
// wait for its thread and the process would never exit.
#[test]
fn can_start_a_call_while_the_runtime_shuts_down() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    let (returned, returned_receiver) = channel();
    runtime.spawn(async move {
        let _late = CallsWhenDropped {
            links: Links::new(settings(([127, 0, 0, 1], 2).into(), keys())),
            returned,
        };
        std::future::pending::<()>().await;
    });
    runtime.block_on(tokio::task::yield_now());
    drop(runtime);
    assert!(returned_receiver.recv().is_ok());
}
