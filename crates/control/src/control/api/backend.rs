use std::sync::Arc;
use std::time::SystemTime;

use dropshot::endpoint;
use dropshot::ClientErrorStatusCode;
use dropshot::HttpError;
use dropshot::HttpResponseOk;
use dropshot::HttpResponseUpdatedNoContent;
use dropshot::RequestContext;
use dropshot::TypedBody;
use tarragon_model::api::Announcement;
use tarragon_model::api::DrainAnswer;
use tarragon_model::api::DrainRequest;
use tarragon_model::api::ServerDeparture;
use tarragon_model::member::BackendState;
use tracing::info;

use crate::control::api::api_context::require_operator;
use crate::control::api::ApiContext;

/// Minimum time to live of an announcement, in ms. A shorter one would expire before the
/// announcement is repeated.
const MIN_TTL_MS: u64 = 100;

/// Refuses announcements from other hosts, because a node serves only the backend server on the
/// same host.
fn require_same_host(request: &RequestContext<Arc<ApiContext>>) -> Result<(), HttpError> {
    let remote = request.request.remote_addr().ip();
    if remote.is_loopback() || remote == request.server.local_addr.ip() {
        return Ok(());
    }
    Err(HttpError::for_client_error(
        None,
        ClientErrorStatusCode::FORBIDDEN,
        "a backend server announces itself to the node on its own host".into(),
    ))
}

/// Announces the backend server of this host, which must repeat the announcement within `ttl_ms`.
#[endpoint { method = PUT, path = "/v1/backend" }]
pub async fn announce_backend(
    request: RequestContext<Arc<ApiContext>>,
    body: TypedBody<Announcement>,
) -> Result<HttpResponseUpdatedNoContent, HttpError> {
    require_same_host(&request)?;
    let announcement = body.into_inner();
    if let Some(mistake) = announcement.mistake(SystemTime::now()) {
        return Err(HttpError::for_bad_request(None, mistake.into()));
    }
    if announcement.ttl_ms < MIN_TTL_MS {
        let message = format!("ttl_ms must be at least {MIN_TTL_MS}");
        return Err(HttpError::for_bad_request(None, message));
    }
    let departure = announcement.server.as_ref().filter(|_| announcement.draining);
    let departure = departure.map(ServerDeparture::of);
    request.context().announcements.announce(announcement);
    if let Some(departure) = departure {
        if !request.context().departures.hold(&departure).await {
            let cause = "too few other nodes hold the departure; repeat it".to_string();
            return Err(HttpError::for_unavail(None, cause));
        }
    }
    Ok(HttpResponseUpdatedNoContent())
}

/// Withdraws the backend server of this host.
#[endpoint { method = DELETE, path = "/v1/backend" }]
pub async fn withdraw_backend(
    request: RequestContext<Arc<ApiContext>>,
) -> Result<HttpResponseUpdatedNoContent, HttpError> {
    require_same_host(&request)?;
    request.context().announcements.withdraw();
    Ok(HttpResponseUpdatedNoContent())
}

/// Drains the backend server of this host.
#[endpoint { method = POST, path = "/v1/drain" }]
pub async fn start_drain(
    request: RequestContext<Arc<ApiContext>>,
    body: TypedBody<DrainRequest>,
) -> Result<HttpResponseOk<DrainAnswer>, HttpError> {
    require_operator(&request)?;
    let context = request.context();
    let is_forced = body.into_inner().force;
    if let Some(refusal) = drain_refusal(context).filter(|_| !is_forced) {
        return Ok(HttpResponseOk(refusal));
    }
    if !context.departures.order_drain(true).await && !is_forced {
        return Err(not_held("the server is drained"));
    }
    let report = context.gate.report();
    let in_progress = report.in_flight + report.waiting;
    info!("drain: started by an operator, {in_progress} requests in progress");
    Ok(HttpResponseOk(DrainAnswer::Draining { in_progress }))
}

/// Ends the drain of the backend server of this host.
#[endpoint { method = DELETE, path = "/v1/drain" }]
pub async fn end_drain(
    request: RequestContext<Arc<ApiContext>>,
) -> Result<HttpResponseUpdatedNoContent, HttpError> {
    require_operator(&request)?;
    if !request.context().departures.order_drain(false).await {
        return Err(not_held("the drain is ended"));
    }
    info!("drain: ended by an operator");
    Ok(HttpResponseUpdatedNoContent())
}

/// Error for an order about a drain that takes effect but may be forgotten.
fn not_held(effect: &str) -> HttpError {
    let cause = format!("{effect}, but a restart of the node may undo it; repeat the command");
    let mut error = HttpError::for_unavail(None, cause.clone());
    error.external_message = cause;
    error
}

/// Refuses the drain if another server of the service is draining and fewer than half of the
/// service's servers would stay ready.
fn drain_refusal(context: &ApiContext) -> Option<DrainAnswer> {
    let service = context.announcements.current_status().service;
    let members = context.directory.members().borrow().clone();
    let others: Vec<_> = members
        .iter()
        .filter(|m| m.service == service && m.instance != context.instance)
        .filter(|m| m.state != BackendState::Absent)
        .collect();
    let ready_left = others.iter().filter(|m| m.state.is_serving()).count();
    let is_another_draining = others.iter().any(|m| m.state == BackendState::Draining);
    let known = others.len() + 1;
    let is_refused = !service.is_empty() && is_another_draining && ready_left * 2 < known;
    is_refused.then(|| DrainAnswer::Refused {
        ready_left: saturating_u32(ready_left),
        known: saturating_u32(known),
    })
}

fn saturating_u32(number: usize) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}
