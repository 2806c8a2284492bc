use std::sync::Arc;

use dropshot::endpoint;
use dropshot::ClientErrorStatusCode;
use dropshot::FreeformBody;
use dropshot::HttpError;
use dropshot::HttpResponseOk;
use dropshot::Query;
use dropshot::RequestContext;
use dropshot::StreamingBody;
use dropshot::UntypedBody;
use schemars::JsonSchema;
use serde::de::DeserializeOwned;
use serde::Deserialize;
use serde::Serialize;
use tarragon_wire::decode_authenticated;
use tarragon_wire::encode_authenticated;
use tarragon_wire::MessageChannel;

use crate::control::api::large_bodies::MAX_LARGE_BODY_BYTES;
use crate::control::api::ApiContext;
use crate::control::ControlFailure;
use crate::control::ControlRequest;
use crate::control::ControlResult;
use crate::departures::DepartureRequest;

/// Query for the changes after a revision.
#[derive(Debug, Deserialize, JsonSchema)]
pub struct SinceQuery {
    since: u64,
}

/// Executes a control request of another node. Only a node with a replica does so.
#[endpoint {
    method = POST,
    path = "/v1/control",
    request_body_max_bytes = MAX_LARGE_BODY_BYTES,
}]
pub async fn control_request(
    request: RequestContext<Arc<ApiContext>>,
    body: StreamingBody,
) -> Result<HttpResponseOk<FreeformBody>, HttpError> {
    let context = request.context();
    let body = context.large_bodies.read(body).await?;
    let decoded_request: ControlRequest = sealed_request(&request, &body, "control request")?;
    let result: ControlResult = match &context.local_log {
        Some(log) => log.request(&decoded_request).await,
        None => Err(ControlFailure::NotLeader { leader: None }),
    };
    sealed_response(context, &result)
}

/// Holds a departure for another node, or returns those that are held for it.
#[endpoint { method = POST, path = "/v1/departures" }]
pub async fn departures(
    request: RequestContext<Arc<ApiContext>>,
    body: UntypedBody,
) -> Result<HttpResponseOk<FreeformBody>, HttpError> {
    let context = request.context();
    let decoded_request: DepartureRequest =
        sealed_request(&request, body.as_bytes(), "request about departures")?;
    sealed_response(context, &context.held_departures.answer(&decoded_request))
}

/// Returns the changes of the catalogue after a revision to another node.
#[endpoint { method = GET, path = "/v1/catalogue" }]
pub async fn catalogue_changes(
    request: RequestContext<Arc<ApiContext>>,
    query: Query<SinceQuery>,
) -> Result<HttpResponseOk<FreeformBody>, HttpError> {
    let context = request.context();
    let catalogue = context.directory.catalogue().borrow().clone();
    sealed_response(context, &catalogue.changes_since(query.into_inner().since))
}

/// Returns all known members to another node.
#[endpoint { method = GET, path = "/v1/members/full" }]
pub async fn full_members(
    request: RequestContext<Arc<ApiContext>>,
) -> Result<HttpResponseOk<FreeformBody>, HttpError> {
    let context = request.context();
    let members = context.directory.members().borrow().clone();
    sealed_response(context, members.as_ref())
}

/// Decodes a request of another node; `what` names it in the log. It is authenticated with the deployment key.
fn sealed_request<T: DeserializeOwned>(
    request: &RequestContext<Arc<ApiContext>>,
    body: &[u8],
    what: &str,
) -> Result<T, HttpError> {
    let context = request.context();
    let key = &context.deployment_key;
    decode_authenticated(key, MessageChannel::Replica, body).map_err(|e| {
        let from = request.request.remote_addr();
        let message = || format!("note: dropped a {what} from {from}: {e}");
        context.peer_auth_failures.record(message);
        HttpError::for_client_error(None, ClientErrorStatusCode::FORBIDDEN, e.to_string())
    })
}

/// Builds a response for another node, authenticated with the deployment key.
pub fn sealed_response<T: Serialize>(
    context: &ApiContext,
    message: &T,
) -> Result<HttpResponseOk<FreeformBody>, HttpError> {
    let bytes = encode_authenticated(&context.deployment_key, MessageChannel::Replica, message)
        .map_err(|e| HttpError::for_internal_error(e.to_string()))?;
    Ok(HttpResponseOk(FreeformBody(bytes.into())))
}
