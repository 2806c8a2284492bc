use std::net::SocketAddr;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use http::HeaderValue;
use http::Method;
use http::Request;
use http::Response;
use hyper::body::Incoming;
use hyper::client::conn::http2;
use hyper::client::conn::http2::SendRequest;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use tarragon_model::call::headers;
use tarragon_model::identity::InstanceId;
use tarragon_policy::admission::AdmissionAdvice;
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use tracing::debug;

use crate::datapath::Clock;
use crate::peer::PeerAuth;
use crate::peer::CONNECTION_WINDOW_BYTES;
use crate::peer::HEARTBEAT_PATH;
use crate::peer::MAX_ANSWER_HEADER_BYTES;
use crate::peer::MAX_RESET_STREAMS;
use crate::peer::SEND_BUFFER_BYTES;
use crate::peer::STREAM_WINDOW_BYTES;
use crate::transport::empty;
use crate::transport::Body;
use crate::transport::TrackedExecutor;

/// One HTTP/2 connection to a peer.
pub(crate) struct Channel {
    pub(crate) sender: SendRequest<Body>,
    /// Cancelled when the connection has failed or is given up.
    pub(crate) lost: CancellationToken,
    address: SocketAddr,
    instance: InstanceId,
    /// When the peer last answered on this connection, in µs.
    proof_us: AtomicU64,
    clock: Clock,
}

impl Channel {
    /// Connects; the connection's task runs in the tracker until it fails or is given up.
    pub(crate) async fn connect(
        address: SocketAddr,
        instance: InstanceId,
        clock: Clock,
        tracker: &TaskTracker,
    ) -> Result<Self, String> {
        let stream = TcpStream::connect(address).await.map_err(|e| e.to_string())?;
        stream.set_nodelay(true).map_err(|e| e.to_string())?;
        // Without this the kernel goes on sending the rest of a request after the connection was
        // given up, for minutes, and the request could run long after it was fenced.
        stream.set_zero_linger().map_err(|e| e.to_string())?;
        let (sender, connection) = http2::Builder::new(TrackedExecutor(tracker.clone()))
            .timer(TokioTimer::new())
            .initial_stream_window_size(STREAM_WINDOW_BYTES)
            .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
            .max_send_buf_size(SEND_BUFFER_BYTES)
            .max_header_list_size(MAX_ANSWER_HEADER_BYTES)
            .max_concurrent_reset_streams(MAX_RESET_STREAMS)
            .max_local_error_reset_streams(None)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|e| e.to_string())?;
        let lost = CancellationToken::new();
        let task_lost = lost.clone();
        tracker.spawn(async move {
            tokio::select! {
                () = task_lost.cancelled() => {}
                result = connection => if let Err(e) = result {
                    debug!("route: connection to {address} ended: {e}");
                },
            }
            task_lost.cancel();
        });
        let proof_us = AtomicU64::new(0);
        Ok(Self { sender, lost, address, instance, proof_us, clock })
    }

    /// Records that the peer answered.
    pub(crate) fn prove(&self) {
        self.proof_us.fetch_max(self.clock.now_us(), Ordering::Relaxed);
    }

    pub(crate) fn proof_us(&self) -> u64 {
        self.proof_us.load(Ordering::Relaxed)
    }

    /// Whether the peer answered within the span.
    pub(crate) fn is_proven_within(&self, span: Duration) -> bool {
        let proof_us = self.proof_us();
        let age_us = self.clock.now_us().saturating_sub(proof_us);
        proof_us > 0 && u128::from(age_us) <= span.as_micros()
    }

    /// Sends a heartbeat and returns what the gate admits.
    pub(crate) async fn heartbeat(&self, auth: &PeerAuth) -> Result<AdmissionAdvice, String> {
        let request = self.control_request(Method::GET, HEARTBEAT_PATH, empty(), auth, &[]);
        let response = self.send_control(request).await?;
        let target = response.headers().get(headers::TARGET);
        let target = target.and_then(|value| value.to_str().ok()).and_then(|t| t.parse().ok());
        if target != Some(self.instance) {
            return Err("another instance of the node answered".into());
        }
        self.prove();
        Ok(advice_of(&response).unwrap_or_default())
    }

    /// Builds a signed request to the node itself.
    pub(crate) fn control_request(
        &self,
        method: Method,
        path: &str,
        body: Body,
        auth: &PeerAuth,
        extra: &[(http::HeaderName, String)],
    ) -> Request<Body> {
        let mut request = Request::new(body);
        let uri = format!("http://{}{path}", self.address);
        *request.uri_mut() = uri.parse().expect("an address and a fixed path form a URI");
        let map = request.headers_mut();
        map.insert(headers::TARGET, visible(&self.instance.to_string()));
        for (name, value) in extra {
            map.insert(name.clone(), visible(value));
        }
        auth.sign(&method, path, map);
        *request.method_mut() = method;
        request
    }

    pub(crate) async fn send_control(
        &self,
        request: Request<Body>,
    ) -> Result<Response<Incoming>, String> {
        let mut sender = self.sender.clone();
        tokio::select! {
            () = self.lost.cancelled() => Err("the connection is lost".into()),
            response = sender.send_request(request) => {
                let response = response.map_err(|e| e.to_string())?;
                if response.status().is_success() {
                    Ok(response)
                } else {
                    Err(format!("the peer answered {}", response.status()))
                }
            }
        }
    }
}

impl Drop for Channel {
    fn drop(&mut self) {
        self.lost.cancel();
    }
}

/// What the answering gate admits.
pub(crate) fn advice_of<B>(response: &Response<B>) -> Option<AdmissionAdvice> {
    response.headers().get(headers::ADVICE)?.to_str().ok()?.parse().ok()
}

/// Header value of text that consists of digits and names.
pub(crate) fn visible(text: &str) -> HeaderValue {
    HeaderValue::from_str(text).expect("identifiers and numbers are visible ASCII")
}
