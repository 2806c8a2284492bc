use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::RwLock;
use std::time::Duration;
use std::time::Instant;

use http::Method;
use http::Request;
use http::Uri;
use tarragon_model::call::headers;
use tarragon_model::call::CallContext;
use tarragon_model::call::Outcome;
use tarragon_model::identity::InstanceId;
use tarragon_model::member::MemberRecord;
use tarragon_policy::admission::AdmissionAdvice;
use tarragon_policy::admission::WorkClass;
use tarragon_policy::routing::PeerState;
use tarragon_policy::routing::RoutePolicy;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use tracing::debug;

use crate::datapath::Clock;
use crate::datapath::DataPathSettings;
use crate::datapath::Metrics;
use crate::gate::AttemptKey;
use crate::gate::GateCall;
use crate::gate::GateResponse;
use crate::peer::gate_reply::parse_number;
use crate::peer::gate_reply::parse_outcome;
use crate::peer::gate_reply::read_gate_response;
use crate::peer::known_notices::KnownNotices;
use crate::peer::managed_connection::ManagedConnection;
use crate::peer::peer_connection::header_value;
use crate::peer::peer_connection::PeerConnection;
use crate::peer::pending_response::PendingResponse;
use crate::peer::pending_response::SendResult;
use crate::peer::PeerAuth;
use crate::peer::FENCE_PATH;
use crate::quarantine::SharedLedger;
use crate::transport::empty;
use crate::transport::move_header;
use crate::transport::Body;

/// Time subtracted from the deadline for the network round trip, in ms, so that the gate's definite
/// response to a late request arrives before the caller's node stops waiting.
const HOP_ALLOWANCE_MS: u64 = 2;

/// Reason why a peer gave no response to a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerCallError {
    /// No byte of the request was sent.
    Unsent,
    /// The request was sent and then the connection was lost, or the response belongs to another
    /// request.
    ConnectionLost,
    /// The connection became silent, and the peer has fenced the request: it did not run and never
    /// will.
    Fenced,
    /// The deadline passed after the request was sent.
    DeadlinePassed,
}

/// Settings and components that the connections to all peers share.
pub(crate) struct PeerShared {
    pub(crate) settings: Arc<DataPathSettings>,
    pub(crate) clock: Clock,
    pub(crate) auth: PeerAuth,
    pub(crate) metrics: Arc<dyn Metrics>,
    pub(crate) route: Arc<Mutex<Box<dyn RoutePolicy>>>,
    pub(crate) crashes: Arc<SharedLedger>,
    pub(crate) notices: KnownNotices,
    pub(crate) tracker: TaskTracker,
    pub(crate) stop: CancellationToken,
}

impl PeerShared {
    pub(crate) fn set_state(&self, target: InstanceId, state: PeerState) {
        let mut route = self.route.lock().expect("no thread panics while it holds the lock");
        route.set_peer_state(target, state, self.clock.now_us());
    }

    pub(crate) fn advise(&self, peer: &Peer, advice: &AdmissionAdvice) {
        let mut route = self.route.lock().expect("no thread panics while it holds the lock");
        let service = peer.service.lock().expect("no thread panics while it holds the lock");
        route.record_advice(&service, peer.instance, advice, self.clock.now_us());
    }
}

/// Another node, with one connection for each class of work.
pub(crate) struct Peer {
    pub(crate) instance: InstanceId,
    /// Name of the node, which it keeps when it is restarted.
    pub(crate) node: String,
    pub(crate) address: SocketAddr,
    /// Service of the peer's backend server; it changes when the peer announces another one.
    service: Mutex<String>,
    /// Cancelled when the node is no longer a member; calls in flight continue.
    pub(crate) removed: CancellationToken,
    short_connection: Arc<ManagedConnection>,
    long_connection: Arc<ManagedConnection>,
}

impl Peer {
    fn new(record: &MemberRecord) -> Self {
        Self {
            instance: record.instance,
            node: record.node.clone(),
            address: record.peer_address,
            service: Mutex::new(record.service.clone()),
            removed: CancellationToken::new(),
            short_connection: Arc::new(ManagedConnection::new(WorkClass::Short)),
            long_connection: Arc::new(ManagedConnection::new(WorkClass::Long)),
        }
    }

    fn set_service(&self, service: &str) {
        let mut current = self.service.lock().expect("no thread panics while it holds the lock");
        if *current != service {
            *current = service.to_string();
        }
    }

    fn connection_for(&self, class: WorkClass) -> &Arc<ManagedConnection> {
        match class {
            WorkClass::Short => &self.short_connection,
            WorkClass::Long => &self.long_connection,
        }
    }
}

/// Settings and components that the peer connections use.
pub struct PeerPoolDependencies {
    /// Settings of the data path.
    pub settings: Arc<DataPathSettings>,
    /// Clock of the policies.
    pub clock: Clock,
    /// Signs requests to peers.
    pub auth: PeerAuth,
    /// Receiver of counters.
    pub metrics: Arc<dyn Metrics>,
    /// Routing policy, which receives the states of the connections and what the gates admit.
    pub route: Arc<Mutex<Box<dyn RoutePolicy>>>,
    /// Requests under which backend servers have crashed, which nodes tell each other.
    pub(crate) crashes: Arc<SharedLedger>,
}

/// Connections to the other nodes.
pub struct PeerPool {
    peers: RwLock<HashMap<InstanceId, Arc<Peer>>>,
    shared: Arc<PeerShared>,
}

impl PeerPool {
    /// Creates a pool without peers.
    pub fn new(dependencies: PeerPoolDependencies) -> Self {
        let PeerPoolDependencies { settings, clock, auth, metrics, route, crashes } = dependencies;
        let (tracker, stop) = (TaskTracker::new(), CancellationToken::new());
        let notices = KnownNotices::default();
        let shared =
            PeerShared { settings, clock, auth, metrics, route, crashes, notices, tracker, stop };
        Self { peers: RwLock::default(), shared: Arc::new(shared) }
    }

    /// Replaces the set of peers. Connections to nodes that are no longer members are closed when
    /// the calls on them have ended.
    pub fn set_members(&self, members: &[MemberRecord], local_instance: InstanceId) {
        let mut peers = self.peers.write().expect("no thread panics while it holds the lock");
        let mut next = HashMap::with_capacity(members.len());
        for record in members.iter().filter(|record| record.instance != local_instance) {
            let has_same_address = |peer: &Arc<Peer>| peer.address == record.peer_address;
            let peer = match peers.get(&record.instance).cloned().filter(has_same_address) {
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
        self.peers.read().expect("no thread panics while it holds the lock").get(&target).cloned()
    }

    /// Sends a call to the gate of a peer and waits for the head of the response. If the connection
    /// becomes silent meanwhile, the call is given up only if `can_run_again` says so.
    ///
    /// # Errors
    /// `Unsent` if no byte of the request was sent; with the other errors the request may have
    /// reached the peer.
    pub async fn call(
        &self,
        target: InstanceId,
        mut call: GateCall,
        class: WorkClass,
        needs_recent_response: bool,
        can_run_again: &(dyn Fn() -> bool + Sync),
    ) -> Result<GateResponse, PeerCallError> {
        let peer = self.find(target).ok_or(PeerCallError::Unsent)?;
        call.known_notice = self.shared.notices.find(&peer.node);
        let deadline = call.deadline;
        let connection =
            self.usable_connection(&peer, class, deadline, needs_recent_response).await;
        let connection = connection.ok_or(PeerCallError::Unsent)?;
        let expected_ids = (header_value(&call.context.request_id.to_string()), call.attempt);
        let CallContext { request_id, span, .. } = call.context;
        let attempt_key = AttemptKey { request_id, span, attempt: call.attempt };
        let request = self.peer_request(call, &peer);
        // At the deadline the gate itself ends the call and reports whether it ran, so the node
        // waits a little longer for that response.
        let grace = Duration::from_millis(self.shared.settings.response_grace_ms);
        let last_wait = deadline + grace;
        let mut sender = connection.sender.clone();
        let mut pending = PendingResponse {
            response: Box::pin(sender.try_send_request(request)),
            closed: connection.closed.clone(),
            last_wait,
        };
        let answered = tokio::select! {
            biased;
            response = pending.wait() => Some(response?),
            () = connection.silent.cancelled() => None,
        };
        let response = match answered {
            Some(response) => response,
            None if can_run_again() => {
                // The request runs elsewhere instead, within the retry ratio if it may have run.
                let is_fenced = connection.is_overtaken()
                    && self.fence_soon(target, class, attempt_key, deadline).await;
                return Err(if is_fenced {
                    PeerCallError::Fenced
                } else {
                    PeerCallError::ConnectionLost
                });
            }
            None => {
                self.wait_on_silent_connection(&mut pending, target, class, attempt_key, deadline)
                    .await?
            }
        };
        let response = response.map_err(|mut e| match e.take_message() {
            Some(_) => PeerCallError::Unsent,
            None => PeerCallError::ConnectionLost,
        })?;
        connection.record_response();
        let (request_id, attempt) = expected_ids;
        let is_matching = response.headers().get(headers::REQUEST_ID) == Some(&request_id)
            && parse_number(response.headers(), headers::ATTEMPT) == Some(attempt);
        if !is_matching {
            connection.closed.cancel();
            return Err(PeerCallError::ConnectionLost);
        }
        self.shared.crashes.read(response.headers());
        let gate_response = read_gate_response(response, connection, last_wait);
        if let Some(advice) = &gate_response.advice {
            self.shared.advise(&peer, advice);
        }
        if let Some(notice) = &gate_response.notice {
            self.shared.notices.record(&peer.node, notice);
        }
        Ok(gate_response)
    }

    /// Waits for the response to a request that cannot run again, after its connection became silent.
    /// The peer may only be paused, and answers it later; or the connection has lost its path. The peer
    /// is asked over a new connection to fence the request. If it has begun to run, or the peer does not
    /// answer, the response can still arrive until the deadline: the two cases look the same.
    async fn wait_on_silent_connection(
        &self,
        pending: &mut PendingResponse<'_>,
        target: InstanceId,
        class: WorkClass,
        attempt: AttemptKey,
        deadline: Instant,
    ) -> Result<SendResult, PeerCallError> {
        let is_fenced = tokio::select! {
            biased;
            response = pending.wait() => return response,
            is_fenced = self.fence(target, class, attempt, deadline) => is_fenced,
        };
        if is_fenced {
            return Err(PeerCallError::Fenced);
        }
        pending.wait().await
    }

    /// Returns a connection. If `needs_recent_response` is set, the peer has responded on it within
    /// the last heartbeat interval. Returns `None` if there is no such connection before the
    /// deadline.
    async fn usable_connection(
        &self,
        peer: &Arc<Peer>,
        class: WorkClass,
        deadline: Instant,
        needs_recent_response: bool,
    ) -> Option<Arc<PeerConnection>> {
        let shared = &self.shared;
        let interval = Duration::from_millis(shared.settings.heartbeat_interval_ms);
        let limit = Duration::from_millis(shared.settings.heartbeat_timeout_ms);
        loop {
            let connection = peer.connection_for(class).acquire(peer, shared, deadline).await?;
            if !needs_recent_response || connection.has_responded_within(interval) {
                return Some(connection);
            }
            let limit = deadline.min(Instant::now() + limit);
            let heartbeat = connection.heartbeat(peer, shared);
            match tokio::time::timeout_at(limit.into(), heartbeat).await {
                Ok(Ok(_)) => return Some(connection),
                _ if Instant::now() >= deadline => return None,
                // The connection is replaced; the new one is checked with a heartbeat when it is
                // opened.
                _ => connection.silent.cancel(),
            }
        }
    }

    fn peer_request(&self, call: GateCall, peer: &Peer) -> Request<Body> {
        let GateCall {
            service,
            request,
            context,
            fingerprint,
            request_kind,
            attempt,
            retry_tokens,
            repeat_share,
            deadline,
            known_notice,
        } = call;
        let (mut parts, body) = request.into_parts();
        let path = parts.uri.path_and_query().map_or("/", |path| path.as_str()).to_string();
        let left_ms = crate::datapath::remaining_us(deadline) / 1_000;
        let deadline_ms = left_ms.saturating_sub(HOP_ALLOWANCE_MS);
        let map = &mut parts.headers;
        if context.key.is_none() {
            // The gate would take it for the key of the call.
            move_header(map, &headers::IDEMPOTENCY_KEY, &headers::UNUSED_KEY);
        }
        CallContext { deadline_ms, ..context }.write_headers(map);
        map.insert(headers::SERVICE, header_value(&service));
        map.insert(headers::TARGET, header_value(&peer.instance.to_string()));
        if let Some(fingerprint) = fingerprint {
            map.insert(headers::FINGERPRINT, header_value(&fingerprint.to_string()));
        }
        map.insert(headers::KIND, request_kind.into());
        map.insert(headers::ATTEMPT, attempt.into());
        map.insert(headers::RETRY_TOKENS, retry_tokens.into());
        map.insert(headers::REPEAT_SHARE, ((repeat_share * 1_000.0) as u32).into());
        if let Some(notice) = known_notice {
            map.insert(headers::NOTICE, header_value(&notice.to_string()));
        }
        self.shared.crashes.write_news(map, fingerprint);
        self.shared.auth.sign(&parts.method, &path, map);
        let authority = peer.address.to_string();
        let uri = Uri::builder().scheme("http").authority(authority).path_and_query(path);
        parts.uri = uri.build().expect("the parts come from a URI and an address");
        parts.version = http::Version::HTTP_2;
        Request::from_parts(parts, body)
    }

    /// Requests a gate to fence an attempt. Returns true if the attempt did not run and never will;
    /// false if it may have begun, or if the gate does not answer.
    pub async fn fence(
        &self,
        target: InstanceId,
        class: WorkClass,
        attempt: AttemptKey,
        deadline: Instant,
    ) -> bool {
        // The caller waits for the outcome no longer than until its deadline.
        let limit = Instant::now() + Duration::from_millis(self.shared.settings.fence_timeout_ms);
        let limit = limit.min(deadline);
        let Some(peer) = self.find(target) else { return false };
        let connection = peer.connection_for(class).acquire(&peer, &self.shared, limit).await;
        let Some(connection) = connection else { return false };
        let left_ms = crate::datapath::remaining_us(deadline) / 1_000;
        let mut request = connection.request(Method::POST, FENCE_PATH, empty());
        let map = request.headers_mut();
        map.insert(headers::REQUEST_ID, header_value(&attempt.request_id.to_string()));
        map.insert(headers::ATTEMPT, attempt.attempt.into());
        map.insert(headers::DEADLINE_MS, left_ms.into());
        if let Some(span) = attempt.span {
            map.insert(headers::SPAN, header_value(&span.to_string()));
        }
        self.shared.auth.sign(&Method::POST, FENCE_PATH, map);
        let sending = connection.send_control(request);
        match tokio::time::timeout_at(limit.into(), sending).await {
            Ok(Ok(response)) => parse_outcome(response.headers()) == Some(Outcome::NotRun),
            Ok(Err(e)) => {
                debug!("route: {target} was not told to fence an attempt: {e}");
                false
            }
            Err(_) => {
                debug!("route: {target} did not answer a fence in time");
                false
            }
        }
    }

    /// Does the same as [`Self::fence`] for a request that can run elsewhere if the gate does not
    /// answer soon.
    async fn fence_soon(
        &self,
        target: InstanceId,
        class: WorkClass,
        attempt: AttemptKey,
        deadline: Instant,
    ) -> bool {
        let limit = Duration::from_millis(self.shared.settings.suspect_after_ms);
        let fencing = self.fence(target, class, attempt, deadline);
        tokio::time::timeout(limit, fencing).await.unwrap_or(false)
    }

    /// Exchanges with a peer what both know about crashes. With `tells_suspects` they tell each other
    /// all suspected requests, otherwise only what is new.
    pub(crate) async fn exchange_crashes(&self, target: InstanceId, tells_suspects: bool) {
        let Some(peer) = self.find(target) else { return };
        let limit = Duration::from_millis(self.shared.settings.suspect_after_ms);
        let exchange = async {
            let deadline = Instant::now() + limit;
            let connection = peer.short_connection.acquire(&peer, &self.shared, deadline).await;
            let connection = connection.ok_or("there is no connection")?;
            connection.heartbeat_telling(&peer, &self.shared, tells_suspects).await
        };
        match tokio::time::timeout(limit, exchange).await {
            Ok(Ok(_)) => {}
            Ok(Err(e)) => debug!("gate: {target} was told nothing about crashes: {e}"),
            Err(_) => debug!("gate: {target} did not respond about crashes in time"),
        }
    }

    /// Closes all connections and waits until their tasks have ended. Calls in flight fail, so all
    /// calls must have ended before.
    pub async fn close(&self) {
        self.shared.stop.cancel();
        self.shared.tracker.close();
        self.shared.tracker.wait().await;
    }
}
