use std::net::SocketAddr;

use bytes::Bytes;
use http::Request;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use crate::support::Daemon;

/// Request of a caller to the service of the fake backend servers.
#[derive(Debug, Clone)]
pub struct CallerRequest {
    pub method: &'static str,
    pub path: String,
    pub key: Option<String>,
}

/// Complete response.
#[derive(Debug, Clone)]
pub struct CallerResponse {
    pub outcome: String,
    pub text: String,
}

impl CallerRequest {
    /// An idempotent request without a key.
    pub fn view(path: &str) -> Self {
        Self { method: "GET", path: path.into(), key: None }
    }

    /// A non-idempotent request with an idempotency key.
    pub fn weigh_in(path: &str, key: &str) -> Self {
        Self { method: "POST", path: path.into(), key: Some(key.into()) }
    }

    /// Sends the request through a node.
    ///
    /// # Errors
    /// The connection failed, or no complete response arrived.
    pub async fn send(&self, node: &Daemon) -> Result<CallerResponse, String> {
        self.send_to(node.addresses.caller).await
    }

    /// Sends the request to the caller address of a node.
    ///
    /// # Errors
    /// The connection failed, or no complete response arrived.
    pub async fn send_to(&self, caller_address: SocketAddr) -> Result<CallerResponse, String> {
        let mut request = Request::builder().method(self.method).uri(&self.path);
        request = request.header("host", "counter.test");
        if let Some(key) = &self.key {
            request = request.header("idempotency-key", key);
        }
        let request = request.body(Full::<Bytes>::default()).unwrap();
        let message = |e: &dyn std::error::Error| e.to_string();
        let stream = TcpStream::connect(caller_address).await.map_err(|e| message(&e))?;
        let (mut sender, connection) =
            http1::handshake(TokioIo::new(stream)).await.map_err(|e| message(&e))?;
        let exchange = async {
            let response = sender.send_request(request).await.map_err(|e| message(&e))?;
            let (head, body) = response.into_parts();
            let body = body.collect().await.map_err(|e| message(&e))?.to_bytes();
            let outcome = head.headers.get("tarragon-outcome");
            Ok(CallerResponse {
                outcome: outcome.map_or("", |value| value.to_str().unwrap()).into(),
                text: String::from_utf8(body.to_vec()).unwrap(),
            })
        };
        // The connection is polled here and not in a task, so that it closes when this future is
        // dropped.
        tokio::pin!(connection);
        tokio::pin!(exchange);
        tokio::select! {
            response = &mut exchange => response,
            _ = &mut connection => exchange.await,
        }
    }

    /// Sends the request, retries it once if it fails, and returns the response of a backend
    /// server.
    ///
    /// # Panics
    /// Both attempts failed.
    pub async fn send_with_retry(&self, node: &Daemon) -> CallerResponse {
        let first = self.send(node).await;
        match first {
            Ok(response) if response.outcome == "answered" => response,
            first_failure => {
                let second = self.send(node).await;
                match second {
                    Ok(response) if response.outcome == "answered" => response,
                    second_failure => {
                        panic!(
                            "{self:?} through {}: {first_failure:?}, {second_failure:?}",
                            node.name
                        )
                    }
                }
            }
        }
    }
}

/// Sends an idempotent request through a node, see [`CallerRequest::send_with_retry`].
pub async fn send_view(node: &Daemon, path: &str) -> CallerResponse {
    CallerRequest::view(path).send_with_retry(node).await
}

/// Obtains an idempotency key from a node.
pub async fn issued_key(node: &Daemon) -> String {
    let path = "/tarragon/keys?service=counter&count=1".into();
    let response = CallerRequest { method: "POST", path, key: None }.send(node).await.unwrap();
    let body: serde_json::Value = serde_json::from_str(&response.text).unwrap();
    body["keys"][0].as_str().unwrap().to_string()
}
