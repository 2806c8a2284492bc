use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use async_trait::async_trait;
use error_stack::Report;
use tarragon_kernel::Kernel;
use tarragon_kernel::KernelError;
use tarragon_kernel::Service;
use tarragon_model::api::Announcement;
use tarragon_model::api::ServerIdentity;
use tarragon_model::member::BackendState;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use tracing::info;

use crate::backend::BackendStatus;
use crate::backend::LocalBackend;

/// Time between checks for expiry and the end of a cold start, in ms.
const TICK_INTERVAL_MS: u64 = 100;

/// The announcement of the node's own backend server and what follows from it.
pub struct AnnouncementTracker {
    held: Mutex<Held>,
    status: watch::Sender<BackendStatus>,
}

#[derive(Default)]
struct Held {
    announcement: Option<Announcement>,
    /// End of the cold start of this backend server.
    cold_until: Option<Instant>,
    /// The newest word of any start that identified itself, kept after it left so that late
    /// announcements are still recognised.
    newest: Option<ServerIdentity>,
    /// Whether the newest start said that it leaves.
    has_left: bool,
    expires: Option<Instant>,
    is_drained_by_operator: bool,
}

impl Default for AnnouncementTracker {
    fn default() -> Self {
        let (status, _) = watch::channel(BackendStatus::absent());
        Self { held: Mutex::default(), status }
    }
}

impl AnnouncementTracker {
    /// Records an announcement, the first or a repeated one.
    ///
    /// Returns false if it changes nothing, because a later one of the same start, or one of a later
    /// start, came before it, or because its start has left.
    pub fn announce(&self, announcement: Announcement) -> bool {
        let now = Instant::now();
        let mut held = self.held.lock().expect("no holder of the lock panics");
        if let Some(server) = &announcement.server {
            if !held.admit(server) {
                info!(
                    server = server.id,
                    started_at_ms = server.started_at_ms,
                    sequence = server.sequence,
                    "drain: ignored an outdated announcement of a backend server"
                );
                return false;
            }
        }
        let is_same = held.announcement.as_ref().is_some_and(|known| {
            known.service == announcement.service && known.address == announcement.address
        });
        // A start that identifies itself says each time how long it stays slow.
        if !is_same || announcement.server.is_some() {
            held.cold_until = Some(now + Duration::from_millis(announcement.cold_start_ms));
        }
        held.expires = Some(now + Duration::from_millis(announcement.ttl_ms));
        held.announcement = Some(announcement);
        self.refresh(&mut held, now);
        true
    }

    /// Records that a start of the backend server takes no more work and will end. Work in progress
    /// goes on. Returns false if a later start has replaced it.
    pub fn mark_leaving(&self, id: &str, started_at_ms: Option<u64>) -> bool {
        let now = Instant::now();
        let mut held = self.held.lock().expect("no holder of the lock panics");
        let is_newest = held.newest.as_ref().is_some_and(|newest| {
            newest.id == id && started_at_ms.is_none_or(|at| at == newest.started_at_ms)
        });
        if !is_newest {
            return false;
        }
        held.has_left = true;
        if let Some(announcement) = &mut held.announcement {
            announcement.draining = true;
        }
        self.refresh(&mut held, now);
        true
    }

    /// Forgets the backend server, because it said that it leaves.
    pub fn withdraw(&self) {
        let mut held = self.held.lock().expect("no holder of the lock panics");
        held.announcement = None;
        self.refresh(&mut held, Instant::now());
    }

    /// Starts or ends a drain on the operator's behalf. A drain outlives the announcement, so that
    /// a backend server that restarts for cleaning gets no work before the drain ends.
    pub fn set_drain(&self, is_draining: bool) {
        let now = Instant::now();
        let mut held = self.held.lock().expect("no holder of the lock panics");
        if held.is_drained_by_operator && !is_draining {
            let cold_start_ms = held.announcement.as_ref().map_or(0, |a| a.cold_start_ms);
            held.cold_until = Some(now + Duration::from_millis(cold_start_ms));
        }
        held.is_drained_by_operator = is_draining;
        self.refresh(&mut held, now);
    }

    /// Present status.
    pub fn current_status(&self) -> BackendStatus {
        self.status.borrow().clone()
    }

    /// Applies what depends on time: expiry and the end of the cold start.
    fn tick(&self) {
        let mut held = self.held.lock().expect("no holder of the lock panics");
        self.refresh(&mut held, Instant::now());
    }

    fn refresh(&self, held: &mut Held, now: Instant) {
        if held.expires.is_some_and(|expires| expires <= now) {
            held.announcement = None;
        }
        let status = held.status(now);
        self.status.send_if_modified(|present| {
            let is_changed = *present != status;
            if is_changed {
                info!("drain: backend server {:?} -> {:?}", present.state, status.state);
                *present = status;
            }
            is_changed
        });
    }
}

impl Held {
    /// Whether a word of a start is newer than all before it, and its start has not left.
    fn admit(&mut self, server: &ServerIdentity) -> bool {
        if let Some(newest) = &self.newest {
            let is_same_start = newest.started_at_ms == server.started_at_ms;
            if server.is_before(newest) || (is_same_start && self.has_left) {
                return false;
            }
            self.has_left &= is_same_start;
        }
        self.newest = Some(server.clone());
        true
    }

    fn status(&self, now: Instant) -> BackendStatus {
        let Some(announcement) = &self.announcement else { return BackendStatus::absent() };
        let is_cold = self.cold_until.is_some_and(|end| now < end);
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
            state,
        }
    }
}

impl LocalBackend for AnnouncementTracker {
    fn status(&self) -> watch::Receiver<BackendStatus> {
        self.status.subscribe()
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
        let mut interval = tokio::time::interval(Duration::from_millis(TICK_INTERVAL_MS));
        loop {
            tokio::select! {
                () = stop.cancelled() => return Ok(()),
                _ = interval.tick() => self.tick(),
            }
        }
    }
}
