use tarragon_model::call::Reason;
use tarragon_model::identity::InstanceId;
use tarragon_model::identity::RequestId;
use tarragon_model::member::BackendState;

use crate::admission::AdmissionAdvice;
use crate::admission::MeanRunTime;

/// Distance of a backend server from the routing node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Distance {
    /// In the same data centre.
    Local,
    /// In another data centre of the same region.
    Region,
    /// In another region.
    Remote,
}

/// A backend server that may be chosen, identified by the instance of its node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// Instance of the node in front of the backend server.
    pub instance: InstanceId,
    /// Distance from the routing node.
    pub distance: Distance,
    /// State that the server's node reported last.
    pub state: BackendState,
}

/// State of the routing node's connection to a peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum PeerState {
    /// The peer answered within the last heartbeat interval.
    Proven,
    /// No traffic or no connection yet.
    Unproven,
    /// The response to a heartbeat is late, or the connection failed.
    Suspect,
}

/// A call that needs a backend server.
#[derive(Debug, Clone, Copy)]
pub struct RouteQuery<'a> {
    /// Service to call.
    pub service: &'a str,
    /// Identifier of the request, from which the shed hash is computed.
    pub request_id: RequestId,
    /// Importance rank.
    pub rank: u8,
    /// Identifier of the kind of request, 0 if unknown.
    pub kind: u32,
    /// Instances already tried for this request.
    pub excluded: &'a [InstanceId],
    /// Whether the request must not be repeated. It then uses a [`PeerState::Proven`] connection if
    /// there is one.
    pub needs_proven_connection: bool,
}

/// Result of a routing decision.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteDecision {
    /// Send the call to the gate of this instance.
    Use(InstanceId),
    /// Refuse the call; the request did not run.
    Refuse {
        /// `NoServer` or `Shed`.
        reason: Reason,
        /// Delay after which a retry may succeed, in ms.
        retry_after_ms: u64,
    },
}

/// How a call to a gate ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallOutcome {
    /// A complete answer arrived.
    Answered,
    /// A complete answer arrived that reports a failure of the server.
    Errored,
    /// The backend server refused the request.
    Rejected,
    /// The gate refused the request.
    NotRun,
    /// The connection failed, or the answer was malformed or arrived too late.
    Failed,
    /// The caller cancelled the call; not counted as a failure of the server.
    Cancelled,
}

/// Measured result of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallResult {
    /// Time to the first byte of the answer, in µs.
    pub latency_us: u64,
    /// How the call ended.
    pub outcome: CallOutcome,
    /// Kind of request, within which latencies are compared; 0 if unknown.
    pub kind: u32,
}

/// Chooses backend servers for one node, see `docs/design.md`, section 3.5.
pub trait RoutePolicy: Send {
    /// Replaces the candidates of a service.
    fn set_candidates(&mut self, service: &str, candidates: &[Candidate], now_us: u64);

    /// Chooses a backend server.
    fn choose(&mut self, query: &RouteQuery<'_>, now_us: u64) -> RouteDecision;

    /// Records that a call was sent.
    fn record_call_start(&mut self, service: &str, target: InstanceId, now_us: u64);

    /// Records the end of a call.
    fn record_call_end(
        &mut self,
        service: &str,
        target: InstanceId,
        result: &CallResult,
        now_us: u64,
    );

    /// Records the admission advice of a gate.
    fn record_advice(
        &mut self,
        service: &str,
        target: InstanceId,
        advice: &AdmissionAdvice,
        now_us: u64,
    );

    /// Records the mean run time of a kind of request that a gate reported. Policies that measure
    /// latencies only ignore it.
    fn record_run_time(
        &mut self,
        _service: &str,
        _target: InstanceId,
        _run_time: &MeanRunTime,
        _now_us: u64,
    ) {
    }

    /// Records the state of the connection to a peer.
    fn set_peer_state(&mut self, target: InstanceId, state: PeerState, now_us: u64);
}
