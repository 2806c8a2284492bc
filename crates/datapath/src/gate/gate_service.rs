use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use async_trait::async_trait;
use error_stack::Report;
use tarragon_kernel::Kernel;
use tarragon_kernel::KernelError;
use tarragon_kernel::Service;
use tarragon_model::member::BackendState;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::gate::Gate;

/// Interval at which expired keys are removed and overdue executions are aborted.
const CLEAN_UP_INTERVAL: Duration = Duration::from_millis(250);

/// Runs the timers of the gate and waits for its tasks at the end.
pub struct GateService {
    gate: Arc<Gate>,
    /// Tracks the listeners; waiting for it ends after they have finished their last requests.
    listeners: TaskTracker,
}

impl GateService {
    /// Creates the service of a gate.
    pub fn new(gate: Arc<Gate>, listeners: TaskTracker) -> Self {
        Self { gate, listeners }
    }

    /// Passes changes of the backend server's status to the policies.
    async fn apply_backend_status(&self) {
        let mut status = self.gate.status.clone();
        let mut was_draining = false;
        loop {
            let (slots, state, is_notice_outdated) = {
                let status = status.borrow_and_update();
                let is_notice_outdated = self.gate.server_notices.follow_status(&status);
                (status.slots, status.state, is_notice_outdated)
            };
            if is_notice_outdated {
                self.gate.admission_queue.set_rate_limit(None);
            }
            self.gate.admission_queue.set_slots(slots);
            let is_draining = state == BackendState::Draining;
            if is_draining != was_draining {
                self.gate.keys.set_drain(is_draining);
                self.gate.admission_queue.set_drain(is_draining);
                was_draining = is_draining;
            }
            if status.changed().await.is_err() {
                // The announcement service has stopped; the last status remains in force.
                std::future::pending::<()>().await;
            }
        }
    }

    async fn clean_up(&self) {
        let mut interval = tokio::time::interval(CLEAN_UP_INTERVAL);
        loop {
            interval.tick().await;
            self.gate.keys.expire();
            self.gate.crashes.expire();
            self.gate.spans.abort_overdue(Instant::now());
        }
    }
}

#[async_trait]
impl Service for GateService {
    fn name(&self) -> &'static str {
        "gate"
    }

    async fn run(
        self: Arc<Self>,
        _kernel: Arc<Kernel>,
        stop: CancellationToken,
    ) -> Result<(), Report<KernelError>> {
        let idle = async {
            stop.cancelled().await;
            self.listeners.wait().await;
            // Requests in progress continue after the stop, so the timers run until they end.
            self.gate.spans.wait_until_empty().await;
        };
        let never = CancellationToken::new();
        tokio::select! {
            () = idle => {}
            () = self.gate.admission_queue.run_timer(&never) => {}
            () = self.apply_backend_status() => {}
            () = self.clean_up() => {}
        }
        self.gate.tracker.close();
        loop {
            self.gate.pool.close_idle();
            tokio::select! {
                () = self.gate.tracker.wait() => return Ok(()),
                // A connection in use may be returned to the pool after the idle ones were closed.
                () = tokio::time::sleep(Duration::from_millis(10)) => {}
            }
        }
    }
}
