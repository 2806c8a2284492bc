use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use http::HeaderMap;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::Response;
use hyper::body::Incoming;
use hyper::client::conn::http2;
use hyper::client::conn::http2::SendRequest;
use hyper_util::rt::TokioTimer;
use tarragon_model::call::headers;
use tarragon_model::identity::InstanceId;
use tarragon_policy::admission::AdmissionAdvice;
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use tracing::debug;

use crate::backend::ReportedNotice;
use crate::datapath::Clock;
use crate::peer::peer_pool::Peer;
use crate::peer::peer_pool::PeerShared;
use crate::peer::CONNECTION_WINDOW_BYTES;
use crate::peer::HEARTBEAT_PATH;
use crate::peer::MAX_RESET_STREAMS;
use crate::peer::MAX_RESPONSE_HEADER_BYTES;
use crate::peer::SEND_BUFFER_BYTES;
use crate::peer::STREAM_WINDOW_BYTES;
use crate::transport::empty;
use crate::transport::Body;
use crate::transport::GuardedIo;
use crate::transport::TrackedExecutor;

/// HTTP/2 connection to a peer.
pub(crate) struct PeerConnection {
    pub(crate) sender: SendRequest<Body>,
    /// Cancelled when the connection has failed, or to close it. Responses in flight are lost.
    pub(crate) closed: CancellationToken,
    /// Cancelled when the peer does not answer on the connection in time, and when it is closed. No
    /// new call uses the connection then. Calls in flight that cannot run again and responses that have
    /// begun keep it open, since a peer that was only paused still sends them.
    pub(crate) silent: CancellationToken,
    /// Cancelled when the peer takes no new requests on the connection, because it stops. It still
    /// answers those in flight.
    pub(crate) finished: CancellationToken,
    /// Whether a new connection to the peer answered while this one did not.
    is_overtaken: AtomicBool,
    address: SocketAddr,
    instance: InstanceId,
    /// Time of the last response on this connection, in µs; 0 if there was none.
    last_response_us: AtomicU64,
    clock: Clock,
}

impl PeerConnection {
    /// Connects to a peer. A task in the tracker drives the connection until it fails or is closed.
    pub(crate) async fn connect(
        address: SocketAddr,
        instance: InstanceId,
        clock: Clock,
        tracker: &TaskTracker,
    ) -> Result<Self, String> {
        let stream = TcpStream::connect(address).await.map_err(|e| e.to_string())?;
        stream.set_nodelay(true).map_err(|e| e.to_string())?;
        // Without this, the operating system continues to send the rest of a request for minutes
        // after the connection was closed, and the request could run long after it was fenced.
        stream.set_zero_linger().map_err(|e| e.to_string())?;
        let closed = CancellationToken::new();
        let (sender, connection) = http2::Builder::new(TrackedExecutor(tracker.clone()))
            .timer(TokioTimer::new())
            .initial_stream_window_size(STREAM_WINDOW_BYTES)
            .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
            .max_send_buf_size(SEND_BUFFER_BYTES)
            .max_header_list_size(MAX_RESPONSE_HEADER_BYTES)
            .max_concurrent_reset_streams(MAX_RESET_STREAMS)
            .max_local_error_reset_streams(None)
            .handshake(GuardedIo::new(stream, closed.clone()))
            .await
            .map_err(|e| e.to_string())?;
        let silent = closed.child_token();
        let finished = closed.child_token();
        let (task_closed, task_finished) = (closed.clone(), finished.clone());
        tracker.spawn(async move {
            tokio::select! {
                () = task_closed.cancelled() => {}
                result = connection => if let Err(e) = result {
                    debug!("route: connection to {address} failed: {e}");
                },
            }
            task_finished.cancel();
        });
        let last_response_us = AtomicU64::new(0);
        let is_overtaken = AtomicBool::new(false);
        Ok(Self {
            sender,
            closed,
            silent,
            finished,
            is_overtaken,
            address,
            instance,
            last_response_us,
            clock,
        })
    }

    /// Whether new calls can use the connection.
    pub(crate) fn takes_calls(&self) -> bool {
        !self.silent.is_cancelled() && !self.finished.is_cancelled()
    }

    /// Ends the use of the connection, because a new one to the peer answered and this one did not.
    pub(crate) fn retire(&self) {
        self.is_overtaken.store(true, Ordering::Relaxed);
        self.silent.cancel();
    }

    pub(crate) fn is_overtaken(&self) -> bool {
        self.is_overtaken.load(Ordering::Relaxed)
    }

    /// Records that the peer responded now.
    pub(crate) fn record_response(&self) {
        self.last_response_us.fetch_max(self.clock.now_us(), Ordering::Relaxed);
    }

    pub(crate) fn last_response_us(&self) -> u64 {
        self.last_response_us.load(Ordering::Relaxed)
    }

    /// Whether the peer responded within the given time before now.
    pub(crate) fn has_responded_within(&self, max_age: Duration) -> bool {
        let last_response_us = self.last_response_us();
        let age_us = self.clock.now_us().saturating_sub(last_response_us);
        last_response_us > 0 && u128::from(age_us) <= max_age.as_micros()
    }

    /// Sends a heartbeat and returns what the peer's gate admits.
    ///
    /// # Errors
    /// Describes the failure if the peer does not respond or is another instance than expected.
    pub(crate) async fn heartbeat(
        &self,
        peer: &Peer,
        shared: &PeerShared,
    ) -> Result<AdmissionAdvice, String> {
        // What the peer may have missed before it is connected.
        self.heartbeat_telling(peer, shared, self.last_response_us() == 0).await
    }

    /// Does the same as [`Self::heartbeat`]. With `tells_suspects` both nodes tell each other all
    /// requests under which several servers have crashed, otherwise only what is new.
    ///
    /// # Errors
    /// As for [`Self::heartbeat`].
    pub(crate) async fn heartbeat_telling(
        &self,
        peer: &Peer,
        shared: &PeerShared,
        tells_suspects: bool,
    ) -> Result<AdmissionAdvice, String> {
        let (auth, crashes) = (&shared.auth, &shared.crashes);
        let mut request = self.request(Method::GET, HEARTBEAT_PATH, empty());
        if let Some(notice) = shared.notices.find(&peer.node) {
            request.headers_mut().insert(headers::NOTICE, header_value(&notice.to_string()));
        }
        if tells_suspects {
            crashes.write_suspects(request.headers_mut());
        } else {
            crashes.write_news(request.headers_mut(), None);
        }
        auth.sign(&Method::GET, HEARTBEAT_PATH, request.headers_mut());
        let response = self.send_control(request).await?;
        let target = response.headers().get(headers::TARGET);
        let target = target.and_then(|value| value.to_str().ok()).and_then(|t| t.parse().ok());
        if target != Some(self.instance) {
            return Err("another instance of the node responded".into());
        }
        self.record_response();
        crashes.read(response.headers());
        if let Some(notice) = parse_notice(response.headers()) {
            shared.notices.record(&peer.node, &notice);
        }
        Ok(parse_advice(&response).unwrap_or_default())
    }

    /// Builds a request for the peer node itself, not for its backend server. The caller adds its
    /// headers and signs it.
    pub(crate) fn request(&self, method: Method, path: &str, body: Body) -> Request<Body> {
        let mut request = Request::new(body);
        let uri = format!("http://{}{path}", self.address);
        *request.uri_mut() = uri.parse().expect("an address and a fixed path form a URI");
        *request.method_mut() = method;
        let map = request.headers_mut();
        map.insert(headers::TARGET, header_value(&self.instance.to_string()));
        request
    }

    /// Sends a request for the peer node itself.
    ///
    /// # Errors
    /// Describes the failure if there is no response or its status is not a success.
    pub(crate) async fn send_control(
        &self,
        request: Request<Body>,
    ) -> Result<Response<Incoming>, String> {
        let mut sender = self.sender.clone();
        tokio::select! {
            () = self.silent.cancelled() => Err("the connection was closed".into()),
            response = sender.send_request(request) => {
                let response = response.map_err(|e| e.to_string())?;
                if response.status().is_success() {
                    Ok(response)
                } else {
                    Err(format!("the peer responded with status {}", response.status()))
                }
            }
        }
    }
}

impl Drop for PeerConnection {
    fn drop(&mut self) {
        self.closed.cancel();
    }
}

/// Reads from a response the notice of the peer's backend server.
pub(crate) fn parse_notice(map: &HeaderMap) -> Option<ReportedNotice> {
    map.get(headers::NOTICE)?.to_str().ok()?.parse().ok()
}

/// Reads from a response what the gate of the peer admits.
pub(crate) fn parse_advice<B>(response: &Response<B>) -> Option<AdmissionAdvice> {
    response.headers().get(headers::ADVICE)?.to_str().ok()?.parse().ok()
}

/// Converts an identifier, a name or a number to a header value.
pub(crate) fn header_value(text: &str) -> HeaderValue {
    HeaderValue::from_str(text).expect("identifiers, names and numbers are visible ASCII")
}
