use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::RwLock;
use std::time::Duration;
use std::time::Instant;

use http::HeaderMap;
use http::HeaderName;
use http::Method;
use http::Request;
use http::Response;
use http::Uri;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tarragon_model::call::headers;
use tarragon_model::call::CallContext;
use tarragon_model::call::Outcome;
use tarragon_model::call::Reason;
use tarragon_model::identity::InstanceId;
use tarragon_model::member::MemberRecord;
use tarragon_policy::admission::AdmissionAdvice;
use tarragon_policy::admission::WorkClass;
use tarragon_policy::routing::PeerState;
use tarragon_policy::routing::RoutePolicy;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::datapath::Clock;
use crate::datapath::DataPathSettings;
use crate::datapath::Metrics;
use crate::gate::AttemptKey;
use crate::gate::GateCall;
use crate::gate::GateResponse;
use crate::peer::channel::advice_of;
use crate::peer::channel::visible;
use crate::peer::channel::Channel;
use crate::peer::link::Link;
use crate::peer::peer_body::PeerBody;
use crate::peer::PeerAuth;
use crate::peer::FENCE_PATH;
use crate::transport::empty;
use crate::transport::strip_hop_headers;
use crate::transport::strip_tarragon_headers;
use crate::transport::Body;
use crate::transport::CallFailure;

/// Taken off the deadline for the way to the gate and back, in ms, so that the gate's definite
/// answer about a late request arrives before the caller's node gives up.
const HOP_ALLOWANCE_MS: u64 = 2;

/// Why a peer gave no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerCallError {
    /// No byte of the request was sent.
    Unsent,
    /// The request was sent and the connection was lost, or the answer was not its own.
    ConnectionLost,
    /// The deadline passed after the request was sent.
    DeadlinePassed,
}

/// What the connections to all peers share.
pub(crate) struct PeerShared {
    pub(crate) settings: Arc<DataPathSettings>,
    pub(crate) clock: Clock,
    pub(crate) auth: PeerAuth,
    pub(crate) metrics: Arc<dyn Metrics>,
    pub(crate) route: Arc<Mutex<Box<dyn RoutePolicy>>>,
    pub(crate) tracker: TaskTracker,
    pub(crate) stop: CancellationToken,
}

impl PeerShared {
    pub(crate) fn set_state(&self, target: InstanceId, state: PeerState) {
        let mut route = self.route.lock().expect("no holder of the lock panics");
        route.set_peer_state(target, state, self.clock.now_us());
    }

    pub(crate) fn advise(&self, peer: &Peer, advice: &AdmissionAdvice) {
        let mut route = self.route.lock().expect("no holder of the lock panics");
        let service = peer.service.lock().expect("no holder of the lock panics");
        route.record_advice(&service, peer.instance, advice, self.clock.now_us());
    }
}

/// Another node.
pub(crate) struct Peer {
    pub(crate) instance: InstanceId,
    pub(crate) address: SocketAddr,
    /// Service of its backend server; changes when another one is announced.
    service: Mutex<String>,
    /// Cancelled when the node is no longer a member; calls in flight go on.
    pub(crate) removed: CancellationToken,
    short: Arc<Link>,
    long: Arc<Link>,
}

impl Peer {
    fn new(record: &MemberRecord) -> Self {
        Self {
            instance: record.instance,
            address: record.peer_address,
            service: Mutex::new(record.service.clone()),
            removed: CancellationToken::new(),
            short: Arc::new(Link::new()),
            long: Arc::new(Link::new()),
        }
    }

    fn set_service(&self, service: &str) {
        let mut known = self.service.lock().expect("no holder of the lock panics");
        if *known != service {
            *known = service.to_string();
        }
    }

    fn link(&self, class: WorkClass) -> &Arc<Link> {
        match class {
            WorkClass::Short => &self.short,
            WorkClass::Long => &self.long,
        }
    }
}

/// What the peer connections are built from.
pub struct PeerPoolDependencies {
    /// Settings of the data path.
    pub settings: Arc<DataPathSettings>,
    /// Clock of the policies.
    pub clock: Clock,
    /// Key of the deployment.
    pub auth: PeerAuth,
    /// Receiver of counters.
    pub metrics: Arc<dyn Metrics>,
    /// Learns the states of the connections and what gates admit.
    pub route: Arc<Mutex<Box<dyn RoutePolicy>>>,
}

/// Connections to the other nodes.
pub struct PeerPool {
    peers: RwLock<HashMap<InstanceId, Arc<Peer>>>,
    shared: Arc<PeerShared>,
}

impl PeerPool {
    /// Creates the table without peers.
    pub fn new(parts: PeerPoolDependencies) -> Self {
        let PeerPoolDependencies { settings, clock, auth, metrics, route } = parts;
        let (tracker, stop) = (TaskTracker::new(), CancellationToken::new());
        let shared = PeerShared { settings, clock, auth, metrics, route, tracker, stop };
        Self { peers: RwLock::default(), shared: Arc::new(shared) }
    }

    /// Replaces the known nodes; connections to nodes that left are closed.
    pub fn set_members(&self, members: &[MemberRecord], own: InstanceId) {
        let mut peers = self.peers.write().expect("no holder of the lock panics");
        let mut next = HashMap::with_capacity(members.len());
        for record in members.iter().filter(|record| record.instance != own) {
            let is_same = |peer: &Arc<Peer>| peer.address == record.peer_address;
            let peer = match peers.get(&record.instance).cloned().filter(is_same) {
                Some(peer) => {
                    peers.remove(&record.instance);
                    peer.set_service(&record.service);
                    peer
                }
                None => Arc::new(Peer::new(record)),
            };
            next.insert(record.instance, peer);
        }
        for peer in peers.values() {
            peer.removed.cancel();
        }
        *peers = next;
    }

    fn find(&self, target: InstanceId) -> Option<Arc<Peer>> {
        self.peers.read().expect("no holder of the lock panics").get(&target).cloned()
    }

    /// Sends a call to the gate of a peer and waits for the head of the answer.
    ///
    /// # Errors
    /// Tells whether the request can have reached the peer.
    pub async fn call(
        &self,
        target: InstanceId,
        call: GateCall,
        class: WorkClass,
        needs_proven: bool,
    ) -> Result<GateResponse, PeerCallError> {
        let peer = self.find(target).ok_or(PeerCallError::Unsent)?;
        let deadline = call.deadline;
        let channel = self.usable_channel(&peer, class, deadline, needs_proven).await;
        let channel = channel.ok_or(PeerCallError::Unsent)?;
        let expected = (visible(&call.context.request_id.to_string()), call.attempt);
        let request = self.peer_request(call, &peer);
        // The gate ends the call at the deadline and knows whether it ran, so its answer is worth
        // a short wait.
        let grace = Duration::from_millis(self.shared.settings.answer_grace_ms);
        let mut sender = channel.sender.clone();
        let response = tokio::select! {
            biased;
            response = sender.try_send_request(request) => response,
            () = channel.lost.cancelled() => return Err(PeerCallError::ConnectionLost),
            () = tokio::time::sleep_until((deadline + grace).into()) => {
                return Err(PeerCallError::DeadlinePassed);
            }
        };
        let response = response.map_err(|mut e| match e.take_message() {
            Some(_) => PeerCallError::Unsent,
            None => PeerCallError::ConnectionLost,
        })?;
        channel.prove();
        let (request_id, attempt) = expected;
        let is_own = response.headers().get(headers::REQUEST_ID) == Some(&request_id)
            && number(response.headers(), headers::ATTEMPT) == Some(attempt);
        if !is_own {
            channel.lost.cancel();
            return Err(PeerCallError::ConnectionLost);
        }
        let answer = gate_answer(response, channel);
        if let Some(advice) = &answer.advice {
            self.shared.advise(&peer, advice);
        }
        Ok(answer)
    }

    /// A connection that, if required, answered within the last heartbeat interval.
    async fn usable_channel(
        &self,
        peer: &Arc<Peer>,
        class: WorkClass,
        deadline: Instant,
        needs_proven: bool,
    ) -> Option<Arc<Channel>> {
        let shared = &self.shared;
        let interval = Duration::from_millis(shared.settings.heartbeat_interval_ms);
        let limit = Duration::from_millis(shared.settings.heartbeat_timeout_ms);
        loop {
            let channel = peer.link(class).channel(peer, shared, deadline).await?;
            if !needs_proven || channel.is_proven_within(interval) {
                return Some(channel);
            }
            let limit = deadline.min(Instant::now() + limit);
            let proof = channel.heartbeat(&shared.auth);
            match tokio::time::timeout_at(limit.into(), proof).await {
                Ok(Ok(_)) => return Some(channel),
                _ if Instant::now() >= deadline => return None,
                // The connection is replaced, and the new one is proven when it is made.
                _ => channel.lost.cancel(),
            }
        }
    }

    fn peer_request(&self, call: GateCall, peer: &Peer) -> Request<Body> {
        let GateCall {
            service,
            request,
            context,
            request_kind,
            attempt,
            retry_tokens,
            repeat_share,
            deadline,
        } = call;
        let (mut parts, body) = request.into_parts();
        let path = parts.uri.path_and_query().map_or("/", |path| path.as_str()).to_string();
        let left_ms = crate::datapath::remaining_us(deadline) / 1_000;
        let deadline_ms = left_ms.saturating_sub(HOP_ALLOWANCE_MS);
        let map = &mut parts.headers;
        CallContext { deadline_ms, ..context }.write_headers(map);
        map.insert(headers::SERVICE, visible(&service));
        map.insert(headers::TARGET, visible(&peer.instance.to_string()));
        map.insert(headers::KIND, request_kind.into());
        map.insert(headers::ATTEMPT, attempt.into());
        map.insert(headers::RETRY_TOKENS, retry_tokens.into());
        map.insert(headers::REPEAT_SHARE, ((repeat_share * 1_000.0) as u32).into());
        self.shared.auth.sign(&parts.method, &path, map);
        let authority = peer.address.to_string();
        let uri = Uri::builder().scheme("http").authority(authority).path_and_query(path);
        parts.uri = uri.build().expect("the parts come from a URI and an address");
        parts.version = http::Version::HTTP_2;
        Request::from_parts(parts, body)
    }

    /// Asks a gate to forbid an attempt. Returns true if the attempt did not run and cannot.
    pub async fn fence(
        &self,
        target: InstanceId,
        class: WorkClass,
        attempt: AttemptKey,
        deadline: Instant,
    ) -> bool {
        // The caller waits no longer than its deadline for the outcome.
        let limit = Instant::now() + Duration::from_millis(self.shared.settings.fence_timeout_ms);
        let limit = limit.min(deadline);
        let Some(peer) = self.find(target) else { return false };
        let channel = peer.link(class).channel(&peer, &self.shared, limit).await;
        let Some(channel) = channel else { return false };
        let left_ms = crate::datapath::remaining_us(deadline) / 1_000;
        let mut extra: Vec<(HeaderName, String)> = vec![
            (headers::REQUEST_ID, attempt.request_id.to_string()),
            (headers::ATTEMPT, attempt.attempt.to_string()),
            (headers::DEADLINE_MS, left_ms.to_string()),
        ];
        if let Some(span) = attempt.span {
            extra.push((headers::SPAN, span.to_string()));
        }
        let auth = &self.shared.auth;
        let request = channel.control_request(Method::POST, FENCE_PATH, empty(), auth, &extra);
        let sending = channel.send_control(request);
        match tokio::time::timeout_at(limit.into(), sending).await {
            Ok(Ok(response)) => outcome_of(response.headers()) == Some(Outcome::NotRun),
            _ => false,
        }
    }

    /// Closes all connections once the calls on them have ended, and joins their tasks.
    pub async fn close(&self) {
        self.shared.stop.cancel();
        self.shared.tracker.close();
        self.shared.tracker.wait().await;
    }
}

fn number(map: &HeaderMap, name: HeaderName) -> Option<u64> {
    map.get(name)?.to_str().ok()?.parse().ok()
}

fn outcome_of(map: &HeaderMap) -> Option<Outcome> {
    map.get(headers::OUTCOME)?.to_str().ok()?.parse().ok()
}

/// Reads what the gate of a peer returned.
fn gate_answer(response: Response<Incoming>, channel: Arc<Channel>) -> GateResponse {
    let advice = advice_of(&response);
    let (mut parts, incoming) = response.into_parts();
    let unused_tokens = number(&parts.headers, headers::RETRY_TOKENS);
    let unused_tokens = unused_tokens.and_then(|n| u32::try_from(n).ok()).unwrap_or(0);
    let reason = parts.headers.get(headers::REASON).and_then(|value| value.to_str().ok());
    let reason: Option<Reason> = reason.and_then(|text| text.parse().ok());
    let result = match (outcome_of(&parts.headers), reason) {
        (Some(Outcome::Answered), _) => {
            strip_hop_headers(&mut parts.headers);
            strip_tarragon_headers(&mut parts.headers);
            Ok(Response::from_parts(parts, PeerBody::new(incoming, channel).boxed_unsync()))
        }
        (Some(_), Some(reason)) => {
            let retry_after_ms = number(&parts.headers, headers::RETRY_AFTER_MS).unwrap_or(0);
            Err(CallFailure { reason, status: parts.status, retry_after_ms })
        }
        _ => Err(Reason::BadAnswer.into()),
    };
    GateResponse { result, unused_tokens, advice }
}
