use std::sync::Arc;

use dropshot::endpoint;
use dropshot::HttpError;
use dropshot::HttpResponseOk;
use dropshot::RequestContext;
use tarragon_model::api::BackendReport;
use tarragon_model::api::NodeStatus;
use tarragon_model::member::MemberRecord;
use tarragon_model::note::ServiceSpec;

use crate::control::api::api_context::require_operator;
use crate::control::api::ApiContext;

/// Returns the state of this node, its gate and its backend server.
#[endpoint { method = GET, path = "/v1/status" }]
pub async fn node_status(
    request: RequestContext<Arc<ApiContext>>,
) -> Result<HttpResponseOk<NodeStatus>, HttpError> {
    require_operator(&request)?;
    let context = request.context();
    let backend = context.announcements.current_status();
    let gate = context.gate.report();
    Ok(HttpResponseOk(NodeStatus {
        node: context.node_name.clone(),
        instance: context.instance,
        data_centre: context.data_centre.clone(),
        revision: context.directory.catalogue().borrow().revision(),
        is_replica: context.replica.is_some(),
        backend: BackendReport {
            service: backend.service,
            state: backend.state,
            in_flight: gate.in_flight,
            waiting: gate.waiting,
            limit: gate.limit,
            oldest_ms: gate.oldest_ms,
        },
    }))
}

/// Lists the services in force at this node.
#[endpoint { method = GET, path = "/v1/services" }]
pub async fn list_services(
    request: RequestContext<Arc<ApiContext>>,
) -> Result<HttpResponseOk<Vec<ServiceSpec>>, HttpError> {
    require_operator(&request)?;
    let catalogue = request.context().directory.catalogue().borrow().clone();
    Ok(HttpResponseOk(catalogue.services().values().cloned().collect()))
}

/// Lists the known members.
#[endpoint { method = GET, path = "/v1/members" }]
pub async fn list_members(
    request: RequestContext<Arc<ApiContext>>,
) -> Result<HttpResponseOk<Vec<MemberRecord>>, HttpError> {
    require_operator(&request)?;
    let members = request.context().directory.members().borrow().clone();
    Ok(HttpResponseOk(members.as_ref().clone()))
}
