use std::net::SocketAddr;

use async_trait::async_trait;
use http::Method;
use tarragon_client::ControlClient;
use tarragon_wire::decode_authenticated;
use tarragon_wire::encode_authenticated;
use tarragon_wire::DeploymentKey;
use tarragon_wire::MessageChannel;
use tracing::debug;

use crate::departures::DepartureRequest;
use crate::departures::HeldForNode;

/// Path at which a node takes requests about departures.
pub const DEPARTURES_PATH: &str = "/v1/departures";

/// Time limit for one request to a holder, in ms. It leaves time for a second attempt within the
/// second in which a backend server waits for the acknowledgement.
const HOLDER_TIMEOUT_MS: u64 = 350;

/// Sends requests to the nodes that hold departures.
#[async_trait]
pub trait HolderClient: Send + Sync {
    /// Sends a request to the node with this control address. Returns what it holds for this node, or
    /// `None` if it does not respond.
    async fn send(&self, holder: SocketAddr, request: &DepartureRequest) -> Option<HeldForNode>;
}

/// Sends the requests over the control API.
pub struct ControlHolderClient {
    client: ControlClient,
    key: DeploymentKey,
}

impl ControlHolderClient {
    /// Creates a client that authenticates with the deployment key.
    pub fn new(key: DeploymentKey) -> Self {
        Self { client: ControlClient::new(None, HOLDER_TIMEOUT_MS), key }
    }
}

#[async_trait]
impl HolderClient for ControlHolderClient {
    async fn send(&self, holder: SocketAddr, request: &DepartureRequest) -> Option<HeldForNode> {
        let body = match encode_authenticated(&self.key, MessageChannel::Replica, request) {
            Ok(body) => body,
            Err(e) => {
                debug!("drain: a request about departures cannot be encoded: {e}");
                return None;
            }
        };
        let response = self.client.send(holder, Method::POST, DEPARTURES_PATH, body.into()).await;
        let response = match response {
            Ok(response) if response.status.is_success() => response,
            Ok(response) => {
                debug!("drain: {holder} refused a request about departures: {}", response.status);
                return None;
            }
            Err(report) => {
                debug!("drain: no response about departures from {holder}: {report:?}");
                return None;
            }
        };
        match decode_authenticated(&self.key, MessageChannel::Replica, &response.body) {
            Ok(held) => Some(held),
            Err(e) => {
                debug!("drain: malformed response about departures from {holder}: {e}");
                None
            }
        }
    }
}
