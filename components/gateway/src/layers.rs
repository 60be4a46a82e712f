//! `tower` layers around the request handler. Each layer performs one check or adds one value; the
//! outermost layer converts rejections into problem documents.

use std::convert::Infallible;
use std::task::{Context, Poll};

use futures_util::FutureExt;
use futures_util::future::{BoxFuture, ready};
use http::header::CONNECTION;
use http::request::Parts;
use http::{HeaderValue, Request, Response};
use tower::layer::{Layer, layer_fn};
use tower::{Service, ServiceExt};

use crate::body::Body;
use crate::headers::{self, REQUEST_ID};
use crate::problem;
use crate::rejection::Rejection;

/// Id of a request in answers and log lines; stored as a request extension.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestId(pub String);

/// Arrival time of a request on the process's monotonic clock; stored as a request extension.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ArrivalTime {
    pub at_ms: u64,
}

/// Forwards a request only if `check` accepts it. `check` may add extensions to the request.
#[derive(Clone)]
pub struct CheckService<F, S> {
    check: F,
    inner: S,
}

/// Creates a layer of [`CheckService`].
pub fn check_layer<F, S>(check: F) -> impl Layer<S, Service = CheckService<F, S>> + Clone
where
    F: Fn(&mut Parts) -> Result<(), Rejection> + Clone,
{
    layer_fn(move |inner| CheckService {
        check: check.clone(),
        inner,
    })
}

impl<F, S, B> Service<Request<B>> for CheckService<F, S>
where
    F: Fn(&mut Parts) -> Result<(), Rejection>,
    S: Service<Request<B>, Response = Response<Body>, Error = Rejection>,
    S::Future: Send + 'static,
{
    type Response = Response<Body>;
    type Error = Rejection;
    type Future = BoxFuture<'static, Result<Response<Body>, Rejection>>;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), Rejection>> {
        self.inner.poll_ready(cx)
    }

    fn call(&mut self, request: Request<B>) -> Self::Future {
        let (mut parts, body) = request.into_parts();
        match (self.check)(&mut parts) {
            Ok(()) => self.inner.call(Request::from_parts(parts, body)).boxed(),
            Err(rejection) => ready(Err(rejection)).boxed(),
        }
    }
}

/// Assigns an id to every request and converts rejections into problem documents.
#[derive(Clone)]
pub struct ProblemService<F, L, S> {
    next_id: F,
    is_leaving: L,
    inner: S,
}

/// Creates a layer of [`ProblemService`]. `next_id` is called if the caller states no valid id.
///
/// While `is_leaving` returns true, every response asks the caller to close the connection.
/// Closing an idle connection could coincide with the caller's next request, and the caller
/// could not know whether that request ran.
pub fn problem_layer<F, L, S>(
    next_id: F,
    is_leaving: L,
) -> impl Layer<S, Service = ProblemService<F, L, S>> + Clone
where
    F: Fn() -> String + Clone,
    L: Fn() -> bool + Clone,
{
    layer_fn(move |inner| ProblemService {
        next_id: next_id.clone(),
        is_leaving: is_leaving.clone(),
        inner,
    })
}

impl<F, L, S, B> Service<Request<B>> for ProblemService<F, L, S>
where
    F: Fn() -> String,
    L: Fn() -> bool + Clone + Send + 'static,
    S: Service<Request<B>, Response = Response<Body>, Error = Rejection> + Clone + Send + 'static,
    S::Future: Send,
    B: Send + 'static,
{
    type Response = Response<Body>;
    type Error = Infallible;
    type Future = BoxFuture<'static, Result<Response<Body>, Infallible>>;

    fn poll_ready(&mut self, _cx: &mut Context<'_>) -> Poll<Result<(), Infallible>> {
        // Readiness of the inner service is awaited in `call`, where an error can be answered.
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, mut request: Request<B>) -> Self::Future {
        let stated = headers::request_id(request.headers()).map(str::to_owned);
        let id = stated.unwrap_or_else(&self.next_id);
        request.extensions_mut().insert(RequestId(id.clone()));
        let inner = self.inner.clone();
        let is_leaving = self.is_leaving.clone();
        async move {
            let answer = inner.oneshot(request).await;
            let mut response =
                answer.unwrap_or_else(|rejection| problem::response(&rejection, &id));
            if let Ok(value) = HeaderValue::from_str(&id) {
                response.headers_mut().insert(REQUEST_ID, value);
            }
            if is_leaving() {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(CONNECTION, close);
            }
            Ok(response)
        }
        .boxed()
    }
}
