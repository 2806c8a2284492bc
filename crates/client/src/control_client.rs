use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use error_stack::Report;
use error_stack::ResultExt;
use http::header::AUTHORIZATION;
use http::Method;
use http::Request;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;

use crate::ClientError;

/// Largest answer that is accepted, which bounds what a faulty peer can make a client allocate.
const MAX_ANSWER_BYTES: usize = 64 << 20;

/// Answer of the control API.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ApiResponse {
    /// Node that answered.
    pub peer: SocketAddr,
    /// HTTP status.
    pub status: StatusCode,
    /// Whole body.
    pub body: Bytes,
}

/// Client of the control API.
#[derive(Debug, Clone)]
pub struct ControlClient {
    http: Client<HttpConnector, Full<Bytes>>,
    bearer: Option<String>,
    timeout: Duration,
}

impl ControlClient {
    /// Creates a client that sends `bearer` as its credential and waits `timeout_ms` for an answer.
    pub fn new(bearer: Option<String>, timeout_ms: u64) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(Duration::from_millis(timeout_ms.min(1000))));
        let http = Client::builder(TokioExecutor::new()).build(connector);
        Self { http, bearer, timeout: Duration::from_millis(timeout_ms) }
    }

    /// Sends a request to one node.
    ///
    /// # Errors
    /// Says whether the request can have arrived, see [`ClientError::is_unsent`].
    pub async fn send(
        &self,
        peer: SocketAddr,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<ApiResponse, Report<ClientError>> {
        let mut request = Request::builder().method(method).uri(format!("http://{peer}{path}"));
        if let Some(bearer) = &self.bearer {
            request = request.header(AUTHORIZATION, format!("Bearer {bearer}"));
        }
        let request = request
            .body(Full::new(body))
            .map_err(|e| Report::new(ClientError::BadRequest(e.to_string())))?;
        tokio::time::timeout(self.timeout, self.exchange(peer, request))
            .await
            .map_err(|_| Report::new(ClientError::NoResponse(peer)))?
    }

    async fn exchange(
        &self,
        peer: SocketAddr,
        request: Request<Full<Bytes>>,
    ) -> Result<ApiResponse, Report<ClientError>> {
        let response = match self.http.request(request).await {
            Ok(response) => response,
            Err(e) if e.is_connect() => {
                return Err(Report::new(e).change_context(ClientError::Connect(peer)))
            }
            Err(e) => return Err(Report::new(e).change_context(ClientError::NoResponse(peer))),
        };
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES)
            .collect()
            .await
            .map_err(|e| Report::new(ClientError::ResponseTooLarge(peer)).attach(e.to_string()))?
            .to_bytes();
        Ok(ApiResponse { peer, status, body })
    }

    /// Sends a request to the nodes in order until one answers without a server error.
    ///
    /// # Errors
    /// Returns the last failure; one after which the request may have arrived is preferred.
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
                Ok(reply) if !reply.status.is_server_error() => return Ok(reply),
                Ok(reply) => result = Ok(reply),
                Err(report) => {
                    let keeps_earlier = match &result {
                        Ok(_) => true,
                        Err(earlier) => !earlier.current_context().is_unsent(),
                    };
                    if !keeps_earlier {
                        result = Err(report);
                    }
                }
            }
        }
        result.attach("every known address was tried")
    }
}
