use std::pin::pin;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use tarragon_policy::admission::AdmissionAdvice;
use tarragon_policy::routing::PeerState;
use tokio::sync::watch;
use tokio::time::error::Elapsed;
use tracing::debug;
use tracing::info;

use crate::peer::peer_connection::PeerConnection;
use crate::peer::peer_pool::Peer;
use crate::peer::peer_pool::PeerShared;

/// Longest wait between two attempts to connect to an unreachable peer.
const MAX_BACKOFF: Duration = Duration::from_secs(1);

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
}

/// Keeps one connection to a peer open while it is used, checks it with heartbeats and replaces it
/// when it fails.
pub(crate) struct ManagedConnection {
    status: watch::Sender<ConnectionStatus>,
    last_used_us: AtomicU64,
}

impl ManagedConnection {
    pub(crate) fn new() -> Self {
        Self { status: watch::Sender::new(ConnectionStatus::Idle), last_used_us: AtomicU64::new(0) }
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
                ConnectionStatus::Connected(connection) if !connection.silent.is_cancelled() => {
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
        loop {
            let last_connect = tokio::time::Instant::now();
            let end_reason = match self.connect(&peer, &shared).await {
                Ok(connection) => {
                    shared.set_state(peer.instance, PeerState::Proven);
                    self.status.send_replace(ConnectionStatus::Connected(Arc::clone(&connection)));
                    backoff = Duration::from_millis(shared.settings.reconnect_interval_ms);
                    let end_reason = self.monitor(&connection, &peer, &shared).await;
                    connection.silent.cancel();
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
                EndReason::Failed => {}
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
            let advice = connection.heartbeat(&shared.auth, &shared.crashes).await?;
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
                Ok(Ok(advice)) => {
                    shared.advise(peer, &advice);
                    shared.set_state(peer.instance, PeerState::Proven);
                }
                Ok(Err(e)) => {
                    debug!("route: heartbeat to {} failed: {e}", peer.instance);
                    connection.closed.cancel();
                    return EndReason::Failed;
                }
                // Another response on the connection shows that it works.
                Err(_) if connection.last_response_us() > sent_us => {
                    shared.set_state(peer.instance, PeerState::Proven);
                }
                Err(_) => return EndReason::Failed,
            }
        }
    }

    /// Sends a heartbeat. If the response is late, other backend servers are preferred for new
    /// calls. The connection is used until the heartbeat timeout, because idempotent calls that are
    /// given up with it may have run.
    async fn heartbeat(
        &self,
        connection: &PeerConnection,
        peer: &Peer,
        shared: &PeerShared,
    ) -> Result<Result<AdmissionAdvice, String>, Elapsed> {
        let settings = &shared.settings;
        let limit = Duration::from_millis(settings.heartbeat_timeout_ms);
        let sent_us = shared.clock.now_us();
        let mut heartbeat =
            pin!(tokio::time::timeout(limit, connection.heartbeat(&shared.auth, &shared.crashes)));
        tokio::select! {
            result = &mut heartbeat => return result,
            () = tokio::time::sleep(Duration::from_millis(settings.suspect_after_ms)) => {}
        }
        if connection.last_response_us() <= sent_us {
            info!(
                peer = %peer.instance,
                address = %peer.address,
                waited_ms = settings.suspect_after_ms,
                "route: heartbeat response is late; preferring other backend servers"
            );
            shared.metrics.count("route.suspected", 1);
            shared.set_state(peer.instance, PeerState::Suspect);
        }
        heartbeat.await
    }
}
