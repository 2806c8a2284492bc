use std::pin::pin;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use tarragon_policy::admission::AdmissionAdvice;
use tarragon_policy::admission::WorkClass;
use tarragon_policy::routing::PeerState;
use tokio::sync::watch;
use tracing::debug;
use tracing::info;

use crate::peer::peer_connection::PeerConnection;
use crate::peer::peer_pool::Peer;
use crate::peer::peer_pool::PeerShared;

/// Longest wait between two attempts to connect to an unreachable peer.
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// Time that a late connection gets to answer after a new one to the same peer has answered. A peer
/// that was paused answers on both, first on the older one.
const OVERTAKEN_GRACE: Duration = Duration::from_millis(100);

/// Minimum time between two attempts to replace a connection that is late, so that overloaded peers
/// are not burdened with connections as well.
const MIN_REPLACEMENT_INTERVAL: Duration = Duration::from_secs(2);

#[derive(Clone)]
enum ConnectionStatus {
    /// There is no connection and no task.
    Idle,
    /// A connection is being opened; callers wait for it.
    Connecting,
    /// The connection can be used.
    Connected(Arc<PeerConnection>),
    /// The last attempt to connect failed, or no more are made because the peer was removed or the
    /// node is stopping. Callers do not wait for a connection.
    Unreachable,
}

enum EndReason {
    /// The connection was not used for `peer_idle_ms`, or the peer is no longer a member.
    Unused,
    /// The node is stopping.
    Stopped,
    /// The connection failed or could not be opened. It is opened again, unless the peer is removed
    /// or the node stops in the meantime.
    Failed,
    /// The connection has lost its path. The new one has answered.
    Replaced(Arc<PeerConnection>),
    /// The peer takes no new requests on the connection, and answers those in flight.
    Finished,
}

/// How a heartbeat ended.
enum HeartbeatEnd {
    Answered(AdmissionAdvice),
    Failed(String),
    /// There was no response within the heartbeat timeout.
    Unanswered,
    /// A new connection answered while this one did not.
    Overtaken(Arc<PeerConnection>),
}

/// Keeps one connection to a peer open while it is used, checks it with heartbeats and replaces it
/// when it fails.
pub(crate) struct ManagedConnection {
    class: WorkClass,
    status: watch::Sender<ConnectionStatus>,
    last_used_us: AtomicU64,
    /// Time of the latest attempt to replace the connection while it was late.
    last_replacement: Mutex<Option<Instant>>,
}

impl ManagedConnection {
    /// Creates a connection for requests of a class; it is opened when it is first used.
    pub(crate) fn new(class: WorkClass) -> Self {
        Self {
            class,
            status: watch::Sender::new(ConnectionStatus::Idle),
            last_used_us: AtomicU64::new(0),
            last_replacement: Mutex::default(),
        }
    }

    /// Returns the connection and opens it if there is none. Returns `None` if the peer cannot be
    /// reached before the deadline.
    pub(crate) async fn acquire(
        self: &Arc<Self>,
        peer: &Arc<Peer>,
        shared: &Arc<PeerShared>,
        deadline: Instant,
    ) -> Option<Arc<PeerConnection>> {
        self.last_used_us.store(shared.clock.now_us(), Ordering::Relaxed);
        let mut status = self.status.subscribe();
        loop {
            let current_status = status.borrow_and_update().clone();
            match current_status {
                ConnectionStatus::Connected(connection) if connection.takes_calls() => {
                    return Some(connection)
                }
                ConnectionStatus::Connected(_) | ConnectionStatus::Connecting => {}
                ConnectionStatus::Unreachable => return None,
                ConnectionStatus::Idle => {
                    let is_first = self.status.send_if_modified(|status| {
                        let is_idle = matches!(status, ConnectionStatus::Idle);
                        if is_idle {
                            *status = ConnectionStatus::Connecting;
                        }
                        is_idle
                    });
                    if is_first {
                        let run = Arc::clone(self).run(Arc::clone(peer), Arc::clone(shared));
                        shared.tracker.spawn(run);
                    }
                }
            }
            let changed = tokio::time::timeout_at(deadline.into(), status.changed()).await;
            if !matches!(changed, Ok(Ok(()))) {
                return None;
            }
        }
    }

    /// Keeps the connection open until it has been unused for `peer_idle_ms`, the peer is removed
    /// or the node stops.
    async fn run(self: Arc<Self>, peer: Arc<Peer>, shared: Arc<PeerShared>) {
        let mut backoff = Duration::from_millis(shared.settings.reconnect_interval_ms);
        let mut replacement = None;
        loop {
            let last_connect = tokio::time::Instant::now();
            let connected = match replacement.take() {
                Some(connection) => Ok(connection),
                None => self.connect(&peer, &shared).await,
            };
            let end_reason = match connected {
                Ok(connection) => {
                    shared.set_state(peer.instance, PeerState::Proven);
                    self.status.send_replace(ConnectionStatus::Connected(Arc::clone(&connection)));
                    backoff = Duration::from_millis(shared.settings.reconnect_interval_ms);
                    let end_reason = self.monitor(&connection, &peer, &shared).await;
                    if let EndReason::Replaced(next) = &end_reason {
                        // Before calls on the old connection are given up, as some are sent again.
                        self.status.send_replace(ConnectionStatus::Connected(Arc::clone(next)));
                        connection.retire();
                    }
                    if !matches!(end_reason, EndReason::Finished) {
                        connection.silent.cancel();
                    }
                    end_reason
                }
                Err(e) => {
                    debug!("route: cannot connect to {} at {}: {e}", peer.instance, peer.address);
                    shared.set_state(peer.instance, PeerState::Suspect);
                    self.status.send_replace(ConnectionStatus::Unreachable);
                    backoff = (backoff * 2).min(MAX_BACKOFF);
                    if self.is_unused(&shared) {
                        EndReason::Unused
                    } else {
                        EndReason::Failed
                    }
                }
            };
            match end_reason {
                EndReason::Unused | EndReason::Stopped => {
                    shared.set_state(peer.instance, PeerState::Unproven);
                    self.status.send_replace(ConnectionStatus::Idle);
                    return;
                }
                EndReason::Replaced(connection) => {
                    info!(
                        peer = %peer.instance,
                        address = %peer.address,
                        "route: connection is silent and was replaced, as a new one works"
                    );
                    shared.metrics.count("route.connection_replaced", 1);
                    replacement = Some(connection);
                    continue;
                }
                EndReason::Failed | EndReason::Finished => {}
            }
            let is_unreachable = matches!(*self.status.borrow(), ConnectionStatus::Unreachable);
            if !is_unreachable {
                info!("route: connection to {} at {} is lost", peer.instance, peer.address);
                shared.metrics.count("route.connection_lost", 1);
                shared.set_state(peer.instance, PeerState::Suspect);
                self.status.send_replace(ConnectionStatus::Connecting);
            }
            let is_finished = tokio::select! {
                () = peer.removed.cancelled() => true,
                () = shared.stop.cancelled() => true,
                () = tokio::time::sleep_until(last_connect + backoff) => false,
            };
            if is_finished {
                self.status.send_replace(ConnectionStatus::Unreachable);
                return;
            }
        }
    }

    fn is_unused(&self, shared: &PeerShared) -> bool {
        let unused_us = shared.clock.now_us() - self.last_used_us.load(Ordering::Relaxed);
        unused_us > shared.settings.peer_idle_ms * 1_000
    }

    /// Connects to the peer and checks the connection with a heartbeat.
    async fn connect(
        &self,
        peer: &Peer,
        shared: &PeerShared,
    ) -> Result<Arc<PeerConnection>, String> {
        let connecting = async {
            let connection =
                PeerConnection::connect(peer.address, peer.instance, shared.clock, &shared.tracker);
            let connection = connection.await?;
            let advice = connection.heartbeat(peer, shared).await?;
            shared.advise(peer, &advice);
            Ok(Arc::new(connection))
        };
        let limit = Duration::from_millis(shared.settings.connect_timeout_ms);
        tokio::select! {
            () = peer.removed.cancelled() => Err("the peer is no longer a member".into()),
            () = shared.stop.cancelled() => Err("the node is stopping".into()),
            result = tokio::time::timeout(limit, connecting) => {
                result.unwrap_or_else(|_| Err("the connection attempt timed out".into()))
            }
        }
    }

    /// Sends heartbeats until the connection is lost or unused, the peer is removed or the node
    /// stops.
    async fn monitor(
        &self,
        connection: &Arc<PeerConnection>,
        peer: &Peer,
        shared: &PeerShared,
    ) -> EndReason {
        let interval = Duration::from_millis(shared.settings.heartbeat_interval_ms);
        loop {
            tokio::select! {
                () = shared.stop.cancelled() => return EndReason::Stopped,
                () = connection.silent.cancelled() => return EndReason::Failed,
                () = connection.finished.cancelled() => return EndReason::Finished,
                () = tokio::time::sleep(interval / 2) => {}
            }
            // This task and the status hold two references; any other belongs to a call in flight.
            let is_unneeded = peer.removed.is_cancelled() || self.is_unused(shared);
            if is_unneeded && Arc::strong_count(connection) <= 2 {
                return EndReason::Unused;
            }
            // A response to a call shows that the connection works, just as a heartbeat does. With
            // calls in flight, a failure must be detected sooner.
            let is_idle = Arc::strong_count(connection) <= 2;
            if connection.has_responded_within(if is_idle { interval } else { interval / 2 }) {
                continue;
            }
            let sent_us = shared.clock.now_us();
            let heartbeat_result = tokio::select! {
                () = shared.stop.cancelled() => return EndReason::Stopped,
                result = self.heartbeat(connection, peer, shared) => result,
            };
            match heartbeat_result {
                HeartbeatEnd::Answered(advice) => {
                    shared.advise(peer, &advice);
                    shared.set_state(peer.instance, PeerState::Proven);
                }
                HeartbeatEnd::Failed(_) if connection.finished.is_cancelled() => {
                    return EndReason::Finished;
                }
                HeartbeatEnd::Failed(e) => {
                    debug!("route: heartbeat to {} failed: {e}", peer.instance);
                    return EndReason::Failed;
                }
                // Another response on the connection shows that it works.
                _ if connection.last_response_us() > sent_us => {
                    shared.set_state(peer.instance, PeerState::Proven);
                }
                HeartbeatEnd::Overtaken(replacement) => return EndReason::Replaced(replacement),
                HeartbeatEnd::Unanswered => return EndReason::Failed,
            }
        }
    }

    /// Sends a heartbeat. If the response is late, other backend servers are preferred for new
    /// calls, and a new connection shows whether the peer is late or only this connection. Otherwise
    /// the connection is used until the heartbeat timeout, because idempotent calls that are given up
    /// with it may have run.
    async fn heartbeat(
        &self,
        connection: &PeerConnection,
        peer: &Peer,
        shared: &PeerShared,
    ) -> HeartbeatEnd {
        let settings = &shared.settings;
        let limit = Duration::from_millis(settings.heartbeat_timeout_ms);
        let sent_us = shared.clock.now_us();
        let heartbeat = async {
            let response = connection.heartbeat(peer, shared);
            match tokio::time::timeout(limit, response).await {
                Ok(Ok(advice)) => HeartbeatEnd::Answered(advice),
                Ok(Err(e)) => HeartbeatEnd::Failed(e),
                Err(_) => HeartbeatEnd::Unanswered,
            }
        };
        let mut heartbeat = pin!(heartbeat);
        tokio::select! {
            end = &mut heartbeat => return end,
            () = tokio::time::sleep(Duration::from_millis(settings.suspect_after_ms)) => {}
        }
        if connection.last_response_us() > sent_us {
            return heartbeat.await;
        }
        info!(
            peer = %peer.instance,
            address = %peer.address,
            waited_ms = settings.suspect_after_ms,
            "route: heartbeat response is late; preferring other backend servers"
        );
        shared.metrics.count("route.suspected", 1);
        shared.set_state(peer.instance, PeerState::Suspect);
        if !self.begin_replacement() {
            return heartbeat.await;
        }
        let replace = async {
            let replacement = self.connect(peer, shared).await?;
            tokio::time::sleep(OVERTAKEN_GRACE).await;
            Ok::<_, String>(replacement)
        };
        tokio::select! {
            biased;
            end = &mut heartbeat => end,
            replacement = replace => match replacement {
                Ok(replacement) => HeartbeatEnd::Overtaken(replacement),
                Err(e) => {
                    debug!("route: no new connection to {} either: {e}", peer.instance);
                    heartbeat.await
                }
            },
        }
    }

    /// Starts the interval between two replacements. Returns false if a late connection may not be
    /// replaced now. One for long work may be late only because large bodies fill it, so its calls
    /// are not given up before the heartbeat timeout.
    fn begin_replacement(&self) -> bool {
        let mut last =
            self.last_replacement.lock().expect("no thread panics while it holds the lock");
        let is_due = last.is_none_or(|at| at.elapsed() >= MIN_REPLACEMENT_INTERVAL);
        let is_allowed = is_due && self.class == WorkClass::Short;
        if is_allowed {
            *last = Some(Instant::now());
        }
        is_allowed
    }
}
