//! Set-up of a process: logging, threads and signals.

use std::future::Future;
use std::io;
use std::pin::Pin;

use telemetry::LogLevel;
use tokio::runtime::{Builder, Runtime};
use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::NodeError;

/// Completes at the first SIGTERM or SIGINT.
pub type Stop = Pin<Box<dyn Future<Output = ()> + Send>>;

/// Runs `work` on `threads` threads and passes it a future that completes at a signal to end.
/// Returns an error if the process cannot be set up, or the error of `work`.
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
