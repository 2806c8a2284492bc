use std::sync::Arc;

use dropshot::endpoint;
use dropshot::ClientErrorStatusCode;
use dropshot::FreeformBody;
use dropshot::HttpError;
use dropshot::HttpResponseOk;
use dropshot::Query;
use dropshot::RequestContext;
use dropshot::UntypedBody;
use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;
use tarragon_wire::decode_authenticated;
use tarragon_wire::encode_authenticated;
use tarragon_wire::MessageChannel;

use crate::control::api::ApiContext;
use crate::control::ControlFailure;
use crate::control::ControlRequest;
use crate::control::ControlResult;

/// Revision from which changes are wanted.
#[derive(Debug, Deserialize, JsonSchema)]
pub struct SinceQuery {
    since: u64,
}

/// Takes a control request from another node; only a replica answers it.
#[endpoint { method = POST, path = "/v1/control" }]
pub async fn control_request(
    request: RequestContext<Arc<ApiContext>>,
    body: UntypedBody,
) -> Result<HttpResponseOk<FreeformBody>, HttpError> {
    let context = request.context();
    let message = decode_authenticated::<ControlRequest>(
        &context.deployment_key,
        MessageChannel::Replica,
        body.as_bytes(),
    );
    let message = message.map_err(|e| {
        let from = request.request.remote_addr();
        let line = || format!("note: dropped a control request from {from}: {e}");
        context.peer_auth_failures.record(line);
        HttpError::for_client_error(None, ClientErrorStatusCode::FORBIDDEN, e.to_string())
    })?;
    let reply: ControlResult = match &context.local_log {
        Some(log) => log.request(&message).await,
        None => Err(ControlFailure::NotLeader { leader: None }),
    };
    sealed(context, &reply)
}

/// Changes of the catalogue since a revision, for another node.
#[endpoint { method = GET, path = "/v1/catalogue" }]
pub async fn catalogue_changes(
    request: RequestContext<Arc<ApiContext>>,
    query: Query<SinceQuery>,
) -> Result<HttpResponseOk<FreeformBody>, HttpError> {
    let context = request.context();
    let catalogue = context.directory.catalogue().borrow().clone();
    sealed(context, &catalogue.changes_since(query.into_inner().since))
}

/// All members that this node knows, for another node.
#[endpoint { method = GET, path = "/v1/members/full" }]
pub async fn full_members(
    request: RequestContext<Arc<ApiContext>>,
) -> Result<HttpResponseOk<FreeformBody>, HttpError> {
    let context = request.context();
    let members = context.directory.members().borrow().clone();
    sealed(context, members.as_ref())
}

/// A message for another node, authenticated with the deployment key.
pub fn sealed<T: Serialize>(
    context: &ApiContext,
    message: &T,
) -> Result<HttpResponseOk<FreeformBody>, HttpError> {
    let bytes = encode_authenticated(&context.deployment_key, MessageChannel::Replica, message)
        .map_err(|e| HttpError::for_internal_error(e.to_string()))?;
    Ok(HttpResponseOk(FreeformBody(bytes.into())))
}
