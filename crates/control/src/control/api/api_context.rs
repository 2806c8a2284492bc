use std::sync::Arc;

use dropshot::ClientErrorStatusCode;
use dropshot::ErrorStatusCode;
use dropshot::HttpError;
use dropshot::RequestContext;
use http::header::AUTHORIZATION;
use tarragon_consensus::driver::ReplicaHandle;
use tarragon_datapath::backend::AnnouncementTracker;
use tarragon_datapath::directory::Directory;
use tarragon_model::identity::InstanceId;
use tarragon_wire::DeploymentKey;

use crate::control::AuthFailureRecorder;
use crate::control::ControlFailure;
use crate::control::ControlLog;
use crate::control::ControlRequest;
use crate::control::ControlResponse;
use crate::control::GateView;
use crate::control::OperatorKey;
use crate::replica::ReplicaAddresses;

/// What the endpoints work with.
pub struct ApiContext {
    /// Name of this node.
    pub node_name: String,
    /// This node's present life.
    pub instance: InstanceId,
    /// Its data centre.
    pub data_centre: String,
    /// The control replica of this node, if it holds one.
    pub replica: Option<ReplicaHandle>,
    /// Where to find the control replicas.
    pub replica_addresses: ReplicaAddresses,
    /// The replicated log, through whichever replica leads it.
    pub log: Arc<dyn ControlLog>,
    /// The replicated log through the replica of this node, if it holds one.
    pub local_log: Option<Arc<dyn ControlLog>>,
    /// The node's view of the deployment.
    pub directory: Arc<dyn Directory>,
    /// The node's own backend server.
    pub announcements: Arc<AnnouncementTracker>,
    /// The gate in front of it.
    pub gate: Arc<dyn GateView>,
    /// Secret of the nodes.
    pub deployment_key: DeploymentKey,
    /// Secret of the operators.
    pub operator_key: OperatorKey,
    /// Commands without the operators' secret.
    pub operator_auth_failures: AuthFailureRecorder,
    /// Control requests without the nodes' secret.
    pub peer_auth_failures: AuthFailureRecorder,
}

impl ApiContext {
    /// Sends a request to the replicated log.
    ///
    /// # Errors
    /// 503 if it certainly changed nothing, 504 if that is unknown.
    pub async fn send_to_log(
        &self,
        request: &ControlRequest,
    ) -> Result<ControlResponse, HttpError> {
        self.log.request(request).await.map_err(|failure| self.http_error(&failure))
    }

    /// Builds the HTTP error for a request to the log that has no answer.
    pub fn http_error(&self, failure: &ControlFailure) -> HttpError {
        let mut error = HttpError::for_unavail(None, failure.to_string());
        // Dropshot hides the cause of a server error; operators need this one.
        error.external_message = failure.to_string();
        if *failure == ControlFailure::OutcomeUnknown {
            error.status_code = ErrorStatusCode::GATEWAY_TIMEOUT;
        }
        error
    }
}

/// Refuses a request that does not carry the operators' secret.
pub fn require_operator(request: &RequestContext<Arc<ApiContext>>) -> Result<(), HttpError> {
    let header = request.request.headers().get(AUTHORIZATION);
    let bearer = header.and_then(|v| v.to_str().ok()).and_then(|v| v.strip_prefix("Bearer "));
    if bearer.is_some_and(|bearer| request.context().operator_key.is_matched_by(bearer)) {
        return Ok(());
    }
    let from = request.request.remote_addr();
    let line = || format!("note: refused a command without the operator key from {from}");
    request.context().operator_auth_failures.record(line);
    Err(HttpError::for_client_error(
        None,
        ClientErrorStatusCode::UNAUTHORIZED,
        "the operator key is missing or wrong".into(),
    ))
}
