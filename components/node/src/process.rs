//! What every binary does around its own work: the log, the threads and the signals.

use std::future::Future;
use std::io;
use std::pin::Pin;

use telemetry::LogLevel;
use tokio::runtime::{Builder, Runtime};
use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::NodeError;

/// Completes with the first signal to end.
pub type Stop = Pin<Box<dyn Future<Output = ()> + Send>>;

/// Runs `work` on `threads` threads, with a future that completes when a signal says that
/// the process is to end. Errors when the process can't be set up, or with `work`'s own.
pub fn run<W, E>(level: LogLevel, threads: usize, work: impl FnOnce(Stop) -> W) -> Result<(), E>
where
    W: Future<Output = Result<(), E>>,
    E: From<NodeError>,
{
    let _log_guard = telemetry::start_logs(level).map_err(NodeError::Logs)?;
    let runtime = runtime(threads).map_err(NodeError::Runtime)?;
    runtime.block_on(async {
        let terminate = signal(SignalKind::terminate()).map_err(NodeError::Signal)?;
        let interrupt = signal(SignalKind::interrupt()).map_err(NodeError::Signal)?;
        work(Box::pin(first_of(terminate, interrupt))).await
    })
}

fn runtime(threads: usize) -> io::Result<Runtime> {
    Builder::new_multi_thread()
        .worker_threads(threads)
        .enable_all()
        .build()
}

async fn first_of(mut terminate: Signal, mut interrupt: Signal) {
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}
