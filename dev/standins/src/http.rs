//! HTTP server of all stand-ins: accepts connections, simulates the faults that every stand-in
//! supports, and serves `/standin/fault`.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Request};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use quick_error::quick_error;
use serde::de::DeserializeOwned;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::sleep;

use crate::error::StandinError;
use crate::fault::{Fault, FaultKind};
use crate::handle::{Control, Crash, Handle};
use crate::reply::{self, Reply};

const BODY_BYTES_MAX: usize = 64 << 20;
const REBIND_RETRY_DELAY: Duration = Duration::from_millis(5);
const OUTAGE_RETRY_AFTER_S: u64 = 1;

quick_error! {
    /// Makes hyper close the connection without an answer.
    #[derive(Debug)]
    pub enum NoAnswer {
        /// A simulated fault or crash, or a request whose body could not be read.
        Simulated {
            display("connection closed without an answer")
        }
    }
}

/// A request with its whole body.
pub(crate) struct Call {
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) query: String,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// Crashes of the stand-in before the connection of this request was accepted.
    pub(crate) crashes: u64,
}

impl Call {
    /// Value of a query parameter, if it is a number.
    pub(crate) fn query_u64(&self, name: &str) -> Option<u64> {
        self.query
            .split('&')
            .filter_map(|field| field.split_once('='))
            .find(|(field, _)| *field == name)
            .and_then(|(_, value)| value.parse().ok())
    }

    /// First value of a header, if it is text.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Parses the body as JSON. The error is the answer that refuses the request.
    pub(crate) fn json<T: DeserializeOwned>(&self) -> Result<T, Box<Reply>> {
        serde_json::from_slice(&self.body).map_err(|_| Box::new(reply::error(400, "bad-json")))
    }

    /// Method and segments of the path.
    pub(crate) fn route(&self) -> (&str, Vec<&str>) {
        let parts = self.path.split('/').filter(|part| !part.is_empty());
        (self.method.as_str(), parts.collect())
    }
}

/// Listens on `address` and answers with `handler` until the returned handle is dropped.
///
/// With `cancel_on_disconnect`, a handler is cancelled when its caller disconnects. Otherwise it
/// runs to its end.
pub(crate) async fn serve<H, F>(
    address: SocketAddr,
    control: Arc<Control>,
    cancel_on_disconnect: bool,
    handler: H,
) -> Result<Handle, StandinError>
where
    H: Fn(Call) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Reply> + Send + 'static,
{
    let listen = |err| StandinError::Listen(address, err);
    let listener = TcpListener::bind(address).await.map_err(listen)?;
    let address = listener.local_addr().map_err(listen)?;
    let server = Server {
        control: control.clone(),
        cancel_on_disconnect,
        handler,
    };
    let task = tokio::spawn(server.run(listener, address));
    Ok(Handle {
        address,
        control,
        tasks: vec![task],
    })
}

#[derive(Clone)]
struct Server<H> {
    control: Arc<Control>,
    cancel_on_disconnect: bool,
    handler: H,
}

impl<H, F> Server<H>
where
    H: Fn(Call) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Reply> + Send + 'static,
{
    async fn run(self, listener: TcpListener, address: SocketAddr) {
        let mut listener = listener;
        let mut crash = self.control.crash.subscribe();
        // This task holds the only sender, so that all connections close when the task ends.
        let (_running, stopped) = watch::channel(());
        // Number of the last crash after which the address refuses connections. A process that ends
        // closes its listener, the lower descriptor, before its connections: whoever lost one
        // must not find the address open.
        let (refusing, refused) = watch::channel(self.control.crashes());
        let mut crashes = self.control.crashes();
        loop {
            tokio::select! {
                accepted = listener.accept() => {
                    // A connection accepted during a crash is closed.
                    if let Ok((stream, _)) = accepted && self.control.crashes() == crashes {
                        let connection = self.clone().serve_connection(stream, crashes, refused.clone(), stopped.clone());
                        tokio::spawn(connection);
                    }
                }
                _ = crash.changed() => {
                    let Crash { down_ms, accepts, .. } = *crash.borrow_and_update();
                    let down = Duration::from_millis(down_ms);
                    let number = self.control.crashes();
                    if accepts {
                        refusing.send_replace(number);
                        close_connections(&listener, down).await;
                    } else {
                        drop(listener);
                        refusing.send_replace(number);
                        sleep(down).await;
                        listener = rebind(address).await;
                    }
                    crashes = self.control.crashes();
                }
            }
        }
    }

    async fn serve_connection(
        self,
        stream: TcpStream,
        crashes: u64,
        mut refused: watch::Receiver<u64>,
        mut stopped: watch::Receiver<()>,
    ) {
        let _ = stream.set_nodelay(true);
        let mut silenced = self.control.silenced.subscribe();
        let service =
            service_fn(move |request| self.clone().answer_unless_crashed(request, crashes));
        let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
        let connection = std::pin::pin!(connection);
        let until_silenced = async {
            tokio::select! {
                _ = connection => {}
                // Neither read nor written any more.
                _ = silenced.changed() => std::future::pending().await,
            }
        };
        tokio::select! {
            () = until_silenced => {}
            _ = refused.wait_for(|number| *number > crashes) => {}
            _ = stopped.changed() => {}
        }
    }

    /// Returns the answer unless the stand-in crashed after it accepted the connection.
    async fn answer_unless_crashed(
        self,
        request: Request<Incoming>,
        crashes: u64,
    ) -> Result<Reply, NoAnswer> {
        let control = Arc::clone(&self.control);
        let reply = self.answer(request, crashes).await;
        if control.crashes() != crashes {
            // The connection ends with the process.
            std::future::pending::<()>().await;
        }
        reply
    }

    async fn answer(self, request: Request<Incoming>, crashes: u64) -> Result<Reply, NoAnswer> {
        let Some(call) = read_call(request, crashes).await else {
            return Err(NoAnswer::Simulated);
        };
        if call.path == "/standin/fault" {
            return Ok(self.change_faults(&call));
        }
        if call.path.starts_with("/standin/") {
            return Ok((self.handler)(call).await);
        }
        let path = match call.query.is_empty() {
            true => call.path.clone(),
            false => format!("{}?{}", call.path, call.query),
        };
        self.control.requests.fetch_add(1, Ordering::Relaxed);
        let faults = &self.control.faults;
        if faults.trigger(FaultKind::Reset, &path).is_some() {
            return Err(NoAnswer::Simulated);
        }
        if faults.trigger(FaultKind::Silent, &path).is_some() {
            return std::future::pending().await;
        }
        if faults.trigger(FaultKind::Outage, &path).is_some() {
            return Ok(reply::error_with_retry_after(
                503,
                "outage",
                OUTAGE_RETRY_AFTER_S,
            ));
        }
        if let Some(late) = faults.trigger(FaultKind::Late, &path) {
            let handler = self.handler.clone();
            tokio::spawn(async move {
                sleep(Duration::from_millis(late.delay_ms)).await;
                handler(call).await
            });
            return Err(NoAnswer::Simulated);
        }
        let slow = faults.trigger(FaultKind::Slow, &path);
        let lost = faults.trigger(FaultKind::AnswerLost, &path).is_some();
        let answer_late = faults.trigger(FaultKind::AnswerLate, &path);
        let truncated = faults.trigger(FaultKind::Truncate, &path);
        let cut = faults.trigger(FaultKind::Cut, &path);
        let reply = self.run_handler(call, slow).await?;
        if lost {
            return Err(NoAnswer::Simulated);
        }
        if let Some(fault) = answer_late {
            sleep(Duration::from_millis(fault.delay_ms)).await;
        }
        Ok(match (truncated, cut) {
            (Some(fault), _) => reply::shorten(reply, &fault, true),
            (None, Some(fault)) => reply::shorten(reply, &fault, false),
            (None, None) => reply,
        })
    }

    async fn run_handler(&self, call: Call, slow: Option<Fault>) -> Result<Reply, NoAnswer> {
        let handler = self.handler.clone();
        let work = async move {
            if let Some(fault) = slow {
                sleep(Duration::from_millis(fault.delay_ms)).await;
            }
            handler(call).await
        };
        if self.cancel_on_disconnect {
            return Ok(work.await);
        }
        tokio::spawn(work).await.map_err(|_| NoAnswer::Simulated)
    }

    fn change_faults(&self, call: &Call) -> Reply {
        if call.method == Method::DELETE {
            self.control.faults.clear();
            return reply::ok();
        }
        match call.json::<Fault>() {
            Ok(fault) => {
                self.control.faults.set(fault);
                reply::ok()
            }
            Err(refusal) => *refusal,
        }
    }
}

/// Accepts connections and closes them at once, for this time.
async fn close_connections(listener: &TcpListener, time: Duration) {
    let closing = async {
        loop {
            drop(listener.accept().await);
        }
    };
    // The elapsed time is the usual end.
    let _ = tokio::time::timeout(time, closing).await;
}

async fn rebind(address: SocketAddr) -> TcpListener {
    loop {
        if let Ok(listener) = TcpListener::bind(address).await {
            return listener;
        }
        sleep(REBIND_RETRY_DELAY).await;
    }
}

async fn read_call(request: Request<Incoming>, crashes: u64) -> Option<Call> {
    let (head, body) = request.into_parts();
    let body = Limited::new(body, BODY_BYTES_MAX).collect().await.ok()?;
    Some(Call {
        method: head.method,
        path: head.uri.path().to_owned(),
        query: head.uri.query().unwrap_or_default().to_owned(),
        headers: head.headers,
        body: body.to_bytes(),
        crashes,
    })
}
