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

use crate::peer::channel::Channel;
use crate::peer::peer_pool::Peer;
use crate::peer::peer_pool::PeerShared;

/// Longest wait between two tries to connect to a peer that cannot be reached.
const MAX_BACKOFF: Duration = Duration::from_secs(1);

#[derive(Clone)]
enum Status {
    /// No connection and no task.
    Idle,
    /// A connection is being made; callers wait for it.
    Connecting,
    /// The connection may be used.
    Up(Arc<Channel>),
    /// The peer cannot be reached; callers do not wait.
    Down,
}

enum WatchEnd {
    Unused,
    Stopped,
    Lost,
}

/// Keeps one connection to a peer while it is in use, proves it alive and replaces it.
pub(crate) struct Link {
    status: watch::Sender<Status>,
    used_us: AtomicU64,
}

impl Link {
    pub(crate) fn new() -> Self {
        Self { status: watch::Sender::new(Status::Idle), used_us: AtomicU64::new(0) }
    }

    /// The connection, made if there is none. Returns `None` if the peer cannot be reached before
    /// the deadline.
    pub(crate) async fn channel(
        self: &Arc<Self>,
        peer: &Arc<Peer>,
        shared: &Arc<PeerShared>,
        deadline: Instant,
    ) -> Option<Arc<Channel>> {
        self.used_us.store(shared.clock.now_us(), Ordering::Relaxed);
        let mut status = self.status.subscribe();
        loop {
            let present = status.borrow_and_update().clone();
            match present {
                Status::Up(channel) if !channel.lost.is_cancelled() => return Some(channel),
                Status::Up(_) | Status::Connecting => {}
                Status::Down => return None,
                Status::Idle => {
                    let is_first = self.status.send_if_modified(|status| {
                        let is_idle = matches!(status, Status::Idle);
                        if is_idle {
                            *status = Status::Connecting;
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

    /// Keeps the connection until it is unused for long or the peer is removed.
    async fn run(self: Arc<Self>, peer: Arc<Peer>, shared: Arc<PeerShared>) {
        let mut backoff = Duration::from_millis(shared.settings.reconnect_interval_ms);
        loop {
            let last_connect = tokio::time::Instant::now();
            let end = match self.connect(&peer, &shared).await {
                Ok(channel) => {
                    shared.set_state(peer.instance, PeerState::Proven);
                    self.status.send_replace(Status::Up(Arc::clone(&channel)));
                    backoff = Duration::from_millis(shared.settings.reconnect_interval_ms);
                    let end = self.keep(&channel, &peer, &shared).await;
                    channel.lost.cancel();
                    end
                }
                Err(e) => {
                    debug!("route: no connection to {} at {}: {e}", peer.instance, peer.address);
                    shared.set_state(peer.instance, PeerState::Suspect);
                    self.status.send_replace(Status::Down);
                    backoff = (backoff * 2).min(MAX_BACKOFF);
                    self.end_without_connection(&shared)
                }
            };
            match end {
                WatchEnd::Unused | WatchEnd::Stopped => {
                    shared.set_state(peer.instance, PeerState::Unproven);
                    self.status.send_replace(Status::Idle);
                    return;
                }
                WatchEnd::Lost => {}
            }
            let is_down = matches!(*self.status.borrow(), Status::Down);
            if !is_down {
                info!("route: connection to {} at {} is lost", peer.instance, peer.address);
                shared.metrics.count("route.connection_lost", 1);
                shared.set_state(peer.instance, PeerState::Suspect);
                self.status.send_replace(Status::Connecting);
            }
            let is_stopped = tokio::select! {
                () = peer.removed.cancelled() => true,
                () = shared.stop.cancelled() => true,
                () = tokio::time::sleep_until(last_connect + backoff) => false,
            };
            if is_stopped {
                self.status.send_replace(Status::Down);
                return;
            }
        }
    }

    /// Whether to go on trying to reach a peer.
    fn end_without_connection(&self, shared: &PeerShared) -> WatchEnd {
        if self.is_unused(shared) {
            WatchEnd::Unused
        } else {
            WatchEnd::Lost
        }
    }

    fn is_unused(&self, shared: &PeerShared) -> bool {
        let unused_us = shared.clock.now_us() - self.used_us.load(Ordering::Relaxed);
        unused_us > shared.settings.peer_idle_ms * 1_000
    }

    /// Connects and proves the connection with a heartbeat.
    async fn connect(&self, peer: &Peer, shared: &PeerShared) -> Result<Arc<Channel>, String> {
        let connecting = async {
            let channel =
                Channel::connect(peer.address, peer.instance, shared.clock, &shared.tracker);
            let channel = channel.await?;
            let advice = channel.heartbeat(&shared.auth).await?;
            shared.advise(peer, &advice);
            Ok(Arc::new(channel))
        };
        let limit = Duration::from_millis(shared.settings.connect_timeout_ms);
        tokio::select! {
            () = peer.removed.cancelled() => Err("the peer left".into()),
            () = shared.stop.cancelled() => Err("the node stops".into()),
            result = tokio::time::timeout(limit, connecting) => {
                result.unwrap_or_else(|_| Err("no answer in time".into()))
            }
        }
    }

    /// Sends heartbeats until the connection is lost, unused or to be closed.
    async fn keep(&self, channel: &Arc<Channel>, peer: &Peer, shared: &PeerShared) -> WatchEnd {
        let interval = Duration::from_millis(shared.settings.heartbeat_interval_ms);
        loop {
            tokio::select! {
                () = shared.stop.cancelled() => return WatchEnd::Stopped,
                () = channel.lost.cancelled() => return WatchEnd::Lost,
                () = tokio::time::sleep(interval / 2) => {}
            }
            // The task and the status hold the channel; anything beyond is a call in flight.
            let is_over = peer.removed.is_cancelled() || self.is_unused(shared);
            if is_over && Arc::strong_count(channel) <= 2 {
                return WatchEnd::Unused;
            }
            // Answers to calls prove the connection as well as a heartbeat does. Calls in flight need to
            // know sooner.
            let is_idle = Arc::strong_count(channel) <= 2;
            if channel.is_proven_within(if is_idle { interval } else { interval / 2 }) {
                continue;
            }
            let sent_us = shared.clock.now_us();
            let answer = tokio::select! {
                () = shared.stop.cancelled() => return WatchEnd::Stopped,
                answer = self.heartbeat(channel, peer, shared) => answer,
            };
            match answer {
                Ok(Ok(advice)) => {
                    shared.advise(peer, &advice);
                    shared.set_state(peer.instance, PeerState::Proven);
                }
                Ok(Err(e)) => {
                    debug!("route: heartbeat to {} failed: {e}", peer.instance);
                    return WatchEnd::Lost;
                }
                // Other answers on the connection prove it as well as the heartbeat does.
                Err(_) if channel.proof_us() > sent_us => {
                    shared.set_state(peer.instance, PeerState::Proven);
                }
                Err(_) => return WatchEnd::Lost,
            }
        }
    }

    /// Sends a heartbeat. While its answer is late, other servers are preferred, but the calls in flight
    /// keep the connection until the time limit: what is lost with it may have run.
    async fn heartbeat(
        &self,
        channel: &Channel,
        peer: &Peer,
        shared: &PeerShared,
    ) -> Result<Result<AdmissionAdvice, String>, Elapsed> {
        let settings = &shared.settings;
        let limit = Duration::from_millis(settings.heartbeat_timeout_ms);
        let sent_us = shared.clock.now_us();
        let mut heartbeat = pin!(tokio::time::timeout(limit, channel.heartbeat(&shared.auth)));
        tokio::select! {
            answer = &mut heartbeat => return answer,
            () = tokio::time::sleep(Duration::from_millis(settings.suspect_after_ms)) => {}
        }
        if channel.proof_us() <= sent_us {
            info!(
                peer = %peer.instance,
                address = %peer.address,
                waited_ms = settings.suspect_after_ms,
                "route: a heartbeat is late, other servers are preferred"
            );
            shared.metrics.count("route.suspected", 1);
            shared.set_state(peer.instance, PeerState::Suspect);
        }
        heartbeat.await
    }
}
