//! HTTP server under every stand-in: connections, the faults that all of them know, and
//! the switches under `/standin`.

use std::net::SocketAddr;
use std::sync::Arc;
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
use crate::handle::{Control, Handle};
use crate::reply::{self, Reply};

const BODY_BYTES_MAX: usize = 64 << 20;
const REBIND_PAUSE: Duration = Duration::from_millis(5);
const OUTAGE_RETRY_AFTER_S: u64 = 1;

quick_error! {
    /// The connection closes without an answer.
    #[derive(Debug)]
    pub enum NoAnswer {
        /// On purpose.
        OnPurpose {
            display("no answer on purpose")
        }
    }
}

/// A request as a stand-in sees it.
pub(crate) struct Call {
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) query: String,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// Crashes of the stand-in before the connection of this request came.
    pub(crate) crashes: u64,
}

impl Call {
    /// Value of a query field as a number.
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

    /// The body as JSON, or the answer that refuses it.
    pub(crate) fn json<T: DeserializeOwned>(&self) -> Result<T, Box<Reply>> {
        serde_json::from_slice(&self.body).map_err(|_| Box::new(reply::error(400, "bad-json")))
    }

    /// Method and the path's parts, for matching.
    pub(crate) fn route(&self) -> (&str, Vec<&str>) {
        let parts = self.path.split('/').filter(|part| !part.is_empty());
        (self.method.as_str(), parts.collect())
    }
}

/// Listens on `address` and answers by `handler` until the handle is dropped.
///
/// The handler runs to its end even when its caller goes away, unless `attached`.
pub(crate) async fn serve<H, F>(
    address: SocketAddr,
    control: Arc<Control>,
    attached: bool,
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
        attached,
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
    attached: bool,
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
        // Ends with this task: it holds the only sender.
        let (_alive, gone) = watch::channel(());
        let mut crashes = self.control.crashes();
        loop {
            tokio::select! {
                accepted = listener.accept() => {
                    // One that comes as the stand-in crashes finds nobody.
                    if let Ok((stream, _)) = accepted && self.control.crashes() == crashes {
                        let connection = self.clone().connection(stream, crashes, gone.clone());
                        tokio::spawn(connection);
                    }
                }
                _ = crash.changed() => {
                    let down_ms = crash.borrow_and_update().down_ms;
                    drop(listener);
                    sleep(Duration::from_millis(down_ms)).await;
                    crashes = self.control.crashes();
                    listener = rebind(address).await;
                }
            }
        }
    }

    async fn connection(self, stream: TcpStream, crashes: u64, mut gone: watch::Receiver<()>) {
        let mut crash = self.control.crash.subscribe();
        let _ = stream.set_nodelay(true);
        let service = service_fn(move |request| self.clone().answer_alive(request, crashes));
        let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
        tokio::select! {
            _ = connection => {}
            _ = crash.changed() => {}
            _ = gone.changed() => {}
        }
    }

    /// The answer, unless the stand-in crashed since the connection came.
    async fn answer_alive(
        self,
        request: Request<Incoming>,
        crashes: u64,
    ) -> Result<Reply, NoAnswer> {
        let control = Arc::clone(&self.control);
        let reply = self.answer(request, crashes).await?;
        if control.crashes() == crashes {
            Ok(reply)
        } else {
            Err(NoAnswer::OnPurpose)
        }
    }

    async fn answer(self, request: Request<Incoming>, crashes: u64) -> Result<Reply, NoAnswer> {
        let Some(call) = read(request, crashes).await else {
            return Err(NoAnswer::OnPurpose);
        };
        if call.path == "/standin/fault" {
            return Ok(self.switch(&call));
        }
        if call.path.starts_with("/standin/") {
            return Ok((self.handler)(call).await);
        }
        let path = match call.query.is_empty() {
            true => call.path.clone(),
            false => format!("{}?{}", call.path, call.query),
        };
        let faults = &self.control.faults;
        if faults.hit(FaultKind::Silent, &path).is_some() {
            return std::future::pending().await;
        }
        if faults.hit(FaultKind::Outage, &path).is_some() {
            return Ok(reply::come_back(503, "outage", OUTAGE_RETRY_AFTER_S));
        }
        if let Some(late) = faults.hit(FaultKind::Late, &path) {
            let handler = self.handler.clone();
            tokio::spawn(async move {
                sleep(Duration::from_millis(late.delay_ms)).await;
                handler(call).await
            });
            return Err(NoAnswer::OnPurpose);
        }
        let slow = faults.hit(FaultKind::Slow, &path);
        let lost = faults.hit(FaultKind::AnswerLost, &path).is_some();
        let truncated = faults.hit(FaultKind::Truncate, &path);
        let cut = faults.hit(FaultKind::Cut, &path);
        let reply = self.handled(call, slow).await?;
        if lost {
            return Err(NoAnswer::OnPurpose);
        }
        Ok(match (truncated, cut) {
            (Some(fault), _) => reply::shortened(reply, &fault, true),
            (None, Some(fault)) => reply::shortened(reply, &fault, false),
            (None, None) => reply,
        })
    }

    async fn handled(&self, call: Call, slow: Option<Fault>) -> Result<Reply, NoAnswer> {
        let handler = self.handler.clone();
        let work = async move {
            if let Some(fault) = slow {
                sleep(Duration::from_millis(fault.delay_ms)).await;
            }
            handler(call).await
        };
        if self.attached {
            return Ok(work.await);
        }
        tokio::spawn(work).await.map_err(|_| NoAnswer::OnPurpose)
    }

    fn switch(&self, call: &Call) -> Reply {
        if call.method == Method::DELETE {
            self.control.faults.clear();
            return reply::done();
        }
        match call.json::<Fault>() {
            Ok(fault) => {
                self.control.faults.set(fault);
                reply::done()
            }
            Err(refusal) => *refusal,
        }
    }
}

async fn rebind(address: SocketAddr) -> TcpListener {
    loop {
        if let Ok(listener) = TcpListener::bind(address).await {
            return listener;
        }
        sleep(REBIND_PAUSE).await;
    }
}

async fn read(request: Request<Incoming>, crashes: u64) -> Option<Call> {
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
