//! Layers of `tower` around the handler of requests: each checks one thing or adds one,
//! and the outermost ones turn a rejection into its problem document.

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

/// Identity of a request in answers and log lines; an extension of the request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestId(pub String);

/// When a request came, on the process's monotonic clock; an extension of the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ArrivalTime {
    /// Milliseconds.
    pub at_ms: u64,
}

/// Lets a request through only if `check` agrees; `check` may add extensions.
#[derive(Clone)]
pub struct CheckService<F, S> {
    check: F,
    inner: S,
}

/// A layer of [`Checked`].
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

/// Gives every request its id and turns rejections into problem documents.
#[derive(Clone)]
pub struct ProblemService<F, L, S> {
    next_id: F,
    is_leaving: L,
    inner: S,
}

/// A layer of [`Answered`]. `next_id` is asked where the caller brings no usable id. Once
/// `is_leaving`, every answer asks its caller to open another connection: one that is
/// closed while it is idle may cross with its next request, which the caller could then
/// not know to have been run or not.
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
        // The inner service is waited for inside the call, where its error has an answer.
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
