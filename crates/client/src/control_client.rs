use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use error_stack::Report;
use error_stack::ResultExt;
use http::header::AUTHORIZATION;
use http::Method;
use http::Request;
use http::StatusCode;
use http_body_util::Full;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;

use crate::ClientError;
use crate::OpenResponse;

/// Maximum time for which an idle connection is kept, in ms. A connection whose state was lost on the
/// network path stays silent until a request times out, so a connection is reused only if it has
/// worked shortly before.
const MAX_IDLE_MS: u64 = 500;

/// Response of the control API.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ApiResponse {
    /// Address of the node that responded.
    pub peer: SocketAddr,
    /// HTTP status.
    pub status: StatusCode,
    /// Complete body.
    pub body: Bytes,
}

/// HTTP client for the control API.
#[derive(Debug, Clone)]
pub struct ControlClient {
    http: Client<HttpConnector, Full<Bytes>>,
    bearer_token: Option<String>,
    timeout: Duration,
}

impl ControlClient {
    /// Creates a client that authenticates with a bearer token, if one is given, and waits at most
    /// `timeout_ms`, in ms, for each response.
    pub fn new(bearer_token: Option<String>, timeout_ms: u64) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(Duration::from_millis(timeout_ms.min(1000))));
        let http = Client::builder(TokioExecutor::new())
            .pool_idle_timeout(Duration::from_millis(MAX_IDLE_MS))
            .build(connector);
        Self { http, bearer_token, timeout: Duration::from_millis(timeout_ms) }
    }

    /// Sends a request to one node and reads the response, within the time limit.
    ///
    /// # Errors
    /// The request failed; [`ClientError::is_unsent`] states whether the peer may have received it.
    pub async fn send(
        &self,
        peer: SocketAddr,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<ApiResponse, Report<ClientError>> {
        let exchange = async { self.open(peer, method, path, body).await?.read().await };
        tokio::time::timeout(self.timeout, exchange)
            .await
            .map_err(|_| Report::new(ClientError::NoResponse(peer)))?
    }

    /// Sends a request to one node and waits for the start of the response, within the time limit.
    /// For responses that may take longer to transfer.
    ///
    /// # Errors
    /// As for [`ControlClient::send`].
    pub async fn open(
        &self,
        peer: SocketAddr,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<OpenResponse, Report<ClientError>> {
        let mut request = Request::builder().method(method).uri(format!("http://{peer}{path}"));
        if let Some(bearer_token) = &self.bearer_token {
            request = request.header(AUTHORIZATION, format!("Bearer {bearer_token}"));
        }
        let request = request
            .body(Full::new(body))
            .map_err(|e| Report::new(ClientError::BadRequest(e.to_string())))?;
        match tokio::time::timeout(self.timeout, self.http.request(request)).await {
            Ok(Ok(response)) => Ok(OpenResponse::new(peer, response, self.timeout)),
            Ok(Err(e)) if e.is_connect() => {
                Err(Report::new(e).change_context(ClientError::Connect(peer)))
            }
            Ok(Err(e)) => Err(Report::new(e).change_context(ClientError::NoResponse(peer))),
            Err(_) => Err(Report::new(ClientError::NoResponse(peer))),
        }
    }

    /// Sends a request to the nodes in order until one responds without a server error. If all
    /// responses are server errors, returns the last one.
    ///
    /// # Errors
    /// No node responded. Returns the first error after which a node may have received the request,
    /// or else the last error.
    pub async fn send_to_any(
        &self,
        peers: &[SocketAddr],
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<ApiResponse, Report<ClientError>> {
        let mut result = Err(Report::new(ClientError::NoAddress));
        for peer in peers {
            match self.send(*peer, method.clone(), path, body.clone()).await {
                Ok(response) if !response.status.is_server_error() => return Ok(response),
                Ok(response) => result = Ok(response),
                Err(report) => {
                    let is_earlier_kept = match &result {
                        Ok(_) => true,
                        Err(earlier) => !earlier.current_context().is_unsent(),
                    };
                    if !is_earlier_kept {
                        result = Err(report);
                    }
                }
            }
        }
        result.attach("all addresses were tried")
    }
}
