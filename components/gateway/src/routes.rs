//! Service of the public address: the layers and the dispatch to the handler of each path.

use std::convert::Infallible;
use std::sync::Arc;

use http::header::CONTENT_LENGTH;
use http::request::Parts;
use http::{Request, Response};
use node::{PauseDetector, now_ms};
use tower::{Service, ServiceBuilder, service_fn};

use crate::auth::authenticate;
use crate::body::Body;
use crate::body_budget::BodyBudget;
use crate::drained::DrainedBody;
use crate::gateway::Gateway;
use crate::headers::RequestOptions;
use crate::layers::{ArrivalTime, check_layer, problem_layer};
use crate::paths::Route;
use crate::rejection::Rejection;
use crate::request_body::{BODY_BYTES_MAX, BodyLimits, RequestBody};
use crate::request_context::RequestContext;
use crate::{calls, completions, training};

/// Returns the service that answers the requests of the public address.
pub fn service<B>(
    gateway: &Arc<Gateway>,
) -> impl Service<Request<B>, Response = Response<Body>, Error = Infallible, Future: Send>
+ Clone
+ Send
+ 'static
where
    B: RequestBody + Unpin + Send + 'static,
    B::Data: Send,
{
    let (ids, drains, clocks) = (gateway.clone(), gateway.clone(), gateway.clone());
    let (known, handling) = (gateway.clone(), gateway.clone());
    let budget = Arc::new(BodyBudget::default());
    ServiceBuilder::new()
        .map_request(|request: Request<B>| request.map(DrainedBody::new))
        .layer(problem_layer(
            move || ids.links.next_id().to_string(),
            move || drains.drain.is_leaving(),
        ))
        .layer(check_layer(move |parts: &mut Parts| {
            check_arrival(parts, &clocks.pulse)
        }))
        .layer(check_layer(move |parts: &mut Parts| {
            // Asked before the view is taken, which may only have more then.
            let is_complete = known.feed.has_read_log();
            let session = authenticate(known.feed.view(), is_complete, &parts.headers)?;
            parts.extensions.insert(session);
            Ok(())
        }))
        .layer(check_layer(read_options))
        .service(service_fn(move |request| {
            handle(handling.clone(), budget.clone(), request)
        }))
}

/// Records the arrival time, and rejects a body whose stated length exceeds the limit.
///
/// A process that was suspended reads requests from its socket buffers long after they arrived,
/// when their callers may no longer wait. The suspension is counted as part of the request's time.
fn check_arrival(parts: &mut Parts, pulse: &PauseDetector) -> Result<(), Rejection> {
    let now_ms = now_ms();
    let at_ms = now_ms.saturating_sub(pulse.arrival_age_ms(now_ms));
    parts.extensions.insert(ArrivalTime { at_ms });
    let stated = parts.headers.get(CONTENT_LENGTH);
    let length = stated.and_then(|value| value.to_str().ok()?.parse::<usize>().ok());
    if length.is_some_and(|bytes| bytes > BODY_BYTES_MAX) {
        return Err(Rejection::TooLarge(BODY_BYTES_MAX));
    }
    Ok(())
}

fn read_options(parts: &mut Parts) -> Result<(), Rejection> {
    let options = RequestOptions::read(&parts.headers)?;
    parts.extensions.insert(options);
    Ok(())
}

async fn handle<B>(
    gateway: Arc<Gateway>,
    budget: Arc<BodyBudget>,
    request: Request<B>,
) -> Result<Response<Body>, Rejection>
where
    B: RequestBody,
{
    let (parts, body) = request.into_parts();
    let route = Route::parse(parts.uri.path(), parts.uri.query())?;
    let context = RequestContext::new(parts, |session| BodyLimits {
        account: gateway.accounts.get(&session.holder.customer),
        budget,
    })?;
    match route {
        Route::Completions => completions::serve(gateway, context, body).await,
        Route::Service(target, path) => calls::serve(gateway, context, target, path, body).await,
        Route::Training(service, route) => {
            training::serve(gateway, context, service, route, body).await
        }
    }
}
