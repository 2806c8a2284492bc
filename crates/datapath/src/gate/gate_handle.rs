use std::sync::Arc;

use tarragon_policy::admission::AdmissionAdvice;

use crate::gate::Gate;
use crate::gate::RequestInProgress;

/// Access to the gate for the control API and for drains.
#[derive(Clone)]
pub struct GateHandle {
    gate: Arc<Gate>,
}

impl GateHandle {
    /// Creates a handle on a gate.
    pub fn new(gate: Arc<Gate>) -> Self {
        Self { gate }
    }

    /// Number of requests running at the backend server.
    pub fn in_flight(&self) -> usize {
        self.gate.admission_queue.counts().running
    }

    /// Number of requests in the queue.
    pub fn waiting(&self) -> usize {
        self.gate.admission_queue.counts().waiting
    }

    /// What the gate currently admits.
    pub fn advice(&self) -> AdmissionAdvice {
        self.gate.admission_queue.advice()
    }

    /// Starts or ends a drain. While draining, the gate refuses new requests and completes those in
    /// progress.
    pub fn set_drain(&self, is_draining: bool) {
        self.gate.keys.set_drain(is_draining);
        self.gate.admission_queue.set_drain(is_draining);
    }

    /// Waiting and running requests, the oldest first.
    pub fn requests(&self) -> Vec<RequestInProgress> {
        self.gate.spans.requests_in_progress()
    }

    /// Waits until no request is waiting or running.
    pub async fn wait_until_idle(&self) {
        self.gate.spans.wait_until_empty().await;
    }
}
