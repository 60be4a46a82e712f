//! Callee side: takes connections and calls.

use std::future::Future;

use tokio::net::TcpListener;

use crate::{Incoming, LinkSettings};

/// Serves calls on `listener`. `handle` is called once for each call, must not block, and
/// spawns the work itself. When `stop` completes, new calls are refused as not run
/// (leaving), and the function returns once every call has ended and its caller has
/// acknowledged it or the time to keep it has passed.
pub async fn serve(
    listener: TcpListener,
    settings: LinkSettings,
    handle: impl Fn(Incoming) + Clone + Send + 'static,
    stop: impl Future<Output = ()> + Send,
) {
    let _ = (listener, settings, handle);
    stop.await;
}
