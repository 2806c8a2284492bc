use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::SystemTime;

use async_trait::async_trait;
use error_stack::Report;
use tarragon_kernel::Kernel;
use tarragon_kernel::KernelError;
use tarragon_kernel::Service;
use tarragon_model::api::unix_ms;
use tarragon_model::api::Announcement;
use tarragon_model::api::ServerDeparture;
use tarragon_model::api::ServerIdentity;
use tarragon_model::member::BackendState;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use tracing::info;

use crate::backend::BackendStatus;
use crate::backend::LocalBackend;

/// Interval between checks for an expired announcement or an ended cold start, in ms.
const CHECK_INTERVAL_MS: u64 = 100;

/// Maximum number of departures that are remembered. A host has one backend server at a time.
const MAX_DEPARTURES: usize = 16;

/// Tracks the announcements of the node's backend server and derives the server's status from them.
///
/// A backend server may identify itself. Its identity contains the start time of its process, so
/// that late announcements of an earlier process are recognised.
pub struct AnnouncementTracker {
    state: Mutex<TrackerState>,
    status: watch::Sender<BackendStatus>,
}

#[derive(Default)]
struct TrackerState {
    announcement: Option<Announcement>,
    /// End of the cold start of this backend server.
    cold_start_end: Option<Instant>,
    /// Identity in the latest announcement of the latest process that identified itself. It is kept
    /// after that process has left, so that late announcements are still recognised.
    latest_identity: Option<ServerIdentity>,
    /// Processes that have announced that they are leaving. They may be unknown otherwise: if this
    /// node has just started, the first thing it hears of a process may be its departure, and late
    /// announcements of that process may follow.
    departures: Vec<ServerDeparture>,
    /// Whether the server is not announced yet, because the departures that an earlier process of
    /// this node has acknowledged are not known.
    is_held_back: bool,
    expires_at: Option<Instant>,
    is_drained_by_operator: bool,
}

impl Default for AnnouncementTracker {
    fn default() -> Self {
        let (status, _) = watch::channel(BackendStatus::absent());
        Self { state: Mutex::default(), status }
    }
}

impl AnnouncementTracker {
    /// Records a first or repeated announcement.
    ///
    /// Returns false if the announcement is outdated and was ignored: a later one of the same
    /// process or one of a later process arrived before it, or its process has left.
    pub fn announce(&self, announcement: Announcement) -> bool {
        let now = Instant::now();
        let mut state = self.state.lock().expect("no thread panics while it holds the lock");
        if let Some(server) = &announcement.server {
            if !state.accept_identity(server, announcement.draining) {
                info!(
                    server = server.id,
                    started_at_ms = server.started_at_ms,
                    sequence = server.sequence,
                    "drain: ignoring an outdated announcement of a backend server"
                );
                return false;
            }
        }
        let is_same_server = state.announcement.as_ref().is_some_and(|previous| {
            previous.service == announcement.service && previous.address == announcement.address
        });
        // A backend server with an identity announces the remaining cold start time each time.
        if !is_same_server || announcement.server.is_some() {
            state.cold_start_end = Some(now + Duration::from_millis(announcement.cold_start_ms));
        }
        state.expires_at = Some(now + Duration::from_millis(announcement.ttl_ms));
        state.announcement = Some(announcement);
        self.update_status(&mut state, now);
        true
    }

    /// Holds back the announcements until [`Self::release`].
    pub fn hold_back(&self) {
        let mut state = self.state.lock().expect("no thread panics while it holds the lock");
        state.is_held_back = true;
        self.update_status(&mut state, Instant::now());
    }

    /// Takes over the departures that an earlier process of this node has acknowledged, and lets the
    /// announcements through.
    pub fn release(&self, departures: &[ServerDeparture]) {
        let mut state = self.state.lock().expect("no thread panics while it holds the lock");
        state.is_held_back = false;
        for departure in departures {
            info!(
                server = departure.id,
                started_at_ms = departure.started_at_ms,
                "drain: the backend server left before this process started"
            );
            state.record_departure(departure.clone());
        }
        self.update_status(&mut state, Instant::now());
    }

    /// The departure that a backend server means. Without a start, it is that of the latest one that is
    /// known with this id, or else of any that has begun until now: a later one begins only after this
    /// one has ended.
    pub fn departure(&self, id: &str, started_at_ms: Option<u64>) -> ServerDeparture {
        let state = self.state.lock().expect("no thread panics while it holds the lock");
        let latest = state.latest_identity.as_ref().filter(|latest| latest.id == id);
        let started_at_ms = started_at_ms
            .or(latest.map(|latest| latest.started_at_ms))
            .unwrap_or_else(|| unix_ms(SystemTime::now()));
        ServerDeparture { id: id.to_string(), started_at_ms }
    }

    /// Records that a backend server process accepts no more requests and will exit. Requests in
    /// progress continue. Returns false if it is not the process whose announcements were recorded
    /// last.
    pub fn mark_leaving(&self, departure: &ServerDeparture) -> bool {
        let mut state = self.state.lock().expect("no thread panics while it holds the lock");
        state.record_departure(departure.clone());
        self.update_status(&mut state, Instant::now());
        let is_latest = |latest: &ServerIdentity| ServerDeparture::of(latest) == *departure;
        state.latest_identity.as_ref().is_some_and(is_latest)
    }

    /// Removes the announcement, because the backend server has withdrawn it.
    pub fn withdraw(&self) {
        let mut state = self.state.lock().expect("no thread panics while it holds the lock");
        state.announcement = None;
        self.update_status(&mut state, Instant::now());
    }

    /// Starts or ends a drain requested by the operator. The drain remains in force when the
    /// announcement expires, so that a backend server that is restarted during maintenance gets no
    /// requests before the drain ends.
    pub fn set_drain(&self, is_draining: bool) {
        let now = Instant::now();
        let mut state = self.state.lock().expect("no thread panics while it holds the lock");
        if state.is_drained_by_operator && !is_draining {
            let cold_start_ms = state.announcement.as_ref().map_or(0, |a| a.cold_start_ms);
            state.cold_start_end = Some(now + Duration::from_millis(cold_start_ms));
        }
        state.is_drained_by_operator = is_draining;
        self.update_status(&mut state, now);
    }

    /// Current status of the backend server.
    pub fn current_status(&self) -> BackendStatus {
        self.status.borrow().clone()
    }

    /// Updates the status after the expiry of the announcement or the end of a cold start.
    fn check_time_limits(&self) {
        let mut state = self.state.lock().expect("no thread panics while it holds the lock");
        self.update_status(&mut state, Instant::now());
    }

    fn update_status(&self, state: &mut TrackerState, now: Instant) {
        if state.expires_at.is_some_and(|expires_at| expires_at <= now) {
            state.announcement = None;
        }
        let status = state.status(now);
        self.status.send_if_modified(|current| {
            let is_changed = *current != status;
            if is_changed {
                info!("drain: backend server {:?} -> {:?}", current.state, status.state);
                *current = status;
            }
            is_changed
        });
    }
}

impl TrackerState {
    /// Records the identity in an announcement. Returns false if the announcement is older than the
    /// latest one or its process has left.
    fn accept_identity(&mut self, server: &ServerIdentity, is_draining: bool) -> bool {
        let has_left = self.departures.iter().any(|departure| departure.includes(server));
        if (has_left && !is_draining)
            || self.latest_identity.as_ref().is_some_and(|latest| server.is_before(latest))
        {
            return false;
        }
        self.latest_identity = Some(server.clone());
        if is_draining {
            self.record_departure(ServerDeparture::of(server));
        }
        true
    }

    /// Records a departure, and drains the server if it is the one that is announced.
    fn record_departure(&mut self, departure: ServerDeparture) {
        if let Some(announcement) = &mut self.announcement {
            announcement.draining |=
                announcement.server.as_ref().is_some_and(|server| departure.includes(server));
        }
        if self.departures.iter().any(|known| known.covers(&departure)) {
            return;
        }
        self.departures.retain(|known| !departure.covers(known));
        if self.departures.len() >= MAX_DEPARTURES {
            self.departures.remove(0);
        }
        self.departures.push(departure);
    }

    fn status(&self, now: Instant) -> BackendStatus {
        let announcement = self.announcement.as_ref().filter(|_| !self.is_held_back);
        let Some(announcement) = announcement else { return BackendStatus::absent() };
        let is_cold = self.cold_start_end.is_some_and(|end| now < end);
        let state = if announcement.draining || self.is_drained_by_operator {
            BackendState::Draining
        } else if is_cold {
            BackendState::Starting
        } else {
            BackendState::Ready
        };
        BackendStatus {
            service: announcement.service.clone(),
            address: Some(announcement.address),
            slots: announcement.slots,
            server_id: announcement.server.as_ref().map(|server| server.id.clone()),
            started_at_ms: announcement.server.as_ref().map(|server| server.started_at_ms),
            // A server without an identity may announce later that it takes requests again.
            is_leaving: announcement.draining && announcement.server.is_some(),
            state,
        }
    }
}

impl LocalBackend for AnnouncementTracker {
    fn status(&self) -> watch::Receiver<BackendStatus> {
        self.status.subscribe()
    }

    fn record_leaving(&self, id: &str, started_at_ms: u64) {
        let is_present = self.mark_leaving(&ServerDeparture { id: id.to_string(), started_at_ms });
        info!(
            server = id,
            started_at_ms, is_present, "drain: the backend server says it is leaving"
        );
    }
}

#[async_trait]
impl Service for AnnouncementTracker {
    fn name(&self) -> &'static str {
        "announcements"
    }

    async fn run(
        self: Arc<Self>,
        _kernel: Arc<Kernel>,
        stop: CancellationToken,
    ) -> Result<(), Report<KernelError>> {
        let mut interval = tokio::time::interval(Duration::from_millis(CHECK_INTERVAL_MS));
        loop {
            tokio::select! {
                () = stop.cancelled() => return Ok(()),
                _ = interval.tick() => self.check_time_limits(),
            }
        }
    }
}
