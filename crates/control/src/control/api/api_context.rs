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

use crate::control::api::LargeBodies;
use crate::control::AuthFailureRecorder;
use crate::control::ControlFailure;
use crate::control::ControlLog;
use crate::control::ControlRequest;
use crate::control::ControlResponse;
use crate::control::GateView;
use crate::control::OperatorKey;
use crate::departures::DepartureService;
use crate::departures::HeldDepartures;
use crate::replica::ReplicaAddresses;

/// Dependencies of the endpoints.
pub struct ApiContext {
    /// Name of this node.
    pub node_name: String,
    /// Instance of this node.
    pub instance: InstanceId,
    /// Data centre of this node.
    pub data_centre: String,
    /// The control replica of this node, if it has one.
    pub replica: Option<ReplicaHandle>,
    /// Addresses of the control replicas.
    pub replica_addresses: ReplicaAddresses,
    /// The replicated log, accessed through its leader on any node.
    pub log: Arc<dyn ControlLog>,
    /// The replicated log, accessed through the replica of this node, if it has one.
    pub local_log: Option<Arc<dyn ControlLog>>,
    /// The node's view of the catalogue and of the members.
    pub directory: Arc<dyn Directory>,
    /// Announcements of the local backend server.
    pub announcements: Arc<AnnouncementTracker>,
    /// Has departures of the local backend server held by other nodes.
    pub departures: Arc<DepartureService>,
    /// Departures that this node holds for others.
    pub held_departures: HeldDepartures,
    /// The gate in front of the local backend server.
    pub gate: Arc<dyn GateView>,
    /// Reads large request bodies, within a limit on the memory for all of them.
    pub large_bodies: LargeBodies,
    /// Secret key shared by the nodes.
    pub deployment_key: DeploymentKey,
    /// Secret key of the operators.
    pub operator_key: OperatorKey,
    /// Counts and logs commands without the operator key.
    pub operator_auth_failures: AuthFailureRecorder,
    /// Counts and logs requests from other nodes that fail authentication.
    pub peer_auth_failures: AuthFailureRecorder,
}

impl ApiContext {
    /// Sends a request to the replicated log.
    ///
    /// # Errors
    /// 503 if the request certainly changed nothing, 504 if its outcome is unknown.
    pub async fn send_to_log(
        &self,
        request: &ControlRequest,
    ) -> Result<ControlResponse, HttpError> {
        self.log.request(request).await.map_err(|failure| self.http_error(&failure))
    }

    /// Builds the HTTP error for a failed request to the log.
    pub fn http_error(&self, failure: &ControlFailure) -> HttpError {
        let mut error = HttpError::for_unavail(None, failure.to_string());
        // Dropshot hides the cause of a server error from clients, but operators need this one.
        error.external_message = failure.to_string();
        if *failure == ControlFailure::OutcomeUnknown {
            error.status_code = ErrorStatusCode::GATEWAY_TIMEOUT;
        }
        error
    }
}

/// Refuses a request without the operator key.
pub fn require_operator(request: &RequestContext<Arc<ApiContext>>) -> Result<(), HttpError> {
    let header = request.request.headers().get(AUTHORIZATION);
    let bearer_token = header.and_then(|v| v.to_str().ok()).and_then(|v| v.strip_prefix("Bearer "));
    if bearer_token.is_some_and(|token| request.context().operator_key.is_matched_by(token)) {
        return Ok(());
    }
    let from = request.request.remote_addr();
    let message = || format!("note: refused a command without the operator key from {from}");
    request.context().operator_auth_failures.record(message);
    Err(HttpError::for_client_error(
        None,
        ClientErrorStatusCode::UNAUTHORIZED,
        "the operator key is missing or wrong".into(),
    ))
}
