use std::sync::Arc;

use tarragon_policy::admission::AdmissionAdvice;

use crate::gate::Gate;
use crate::gate::RequestInProgress;

/// What the control API and the drain sees of the gate.
#[derive(Clone)]
pub struct GateHandle {
    gate: Arc<Gate>,
}

impl GateHandle {
    /// Creates a handle on a gate.
    pub fn new(gate: Arc<Gate>) -> Self {
        Self { gate }
    }

    /// Requests running at the backend server.
    pub fn in_flight(&self) -> usize {
        self.gate.desk.counts().0
    }

    /// Requests in the queue.
    pub fn waiting(&self) -> usize {
        self.gate.desk.counts().1
    }

    /// What the gate admits at present.
    pub fn advice(&self) -> AdmissionAdvice {
        self.gate.desk.advice()
    }

    /// Starts or ends a drain: while draining, new work is refused and work in progress goes on.
    pub fn set_drain(&self, is_draining: bool) {
        self.gate.keys.set_drain(is_draining);
        self.gate.desk.set_drain(is_draining);
    }

    /// Requests waiting or running, the oldest first.
    pub fn requests(&self) -> Vec<RequestInProgress> {
        self.gate.spans.list()
    }

    /// Waits until no request is waiting or running.
    pub async fn wait_until_idle(&self) {
        self.gate.spans.idle().await;
    }
}
